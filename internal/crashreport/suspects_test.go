package crashreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/quarantine"
)

func TestSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := suspects{}
	key := quarantine.Key{Account: "a", Fingerprint: "f"}
	is.Equal(s.add(now, key, "b1/1"), 1)
	is.Equal(s.add(now, key, "b1/1"), 1) // one crash, seen by two attempts
	is.Equal(s.add(now, key, "b1/2"), 2)
	is.Equal(s.add(now, quarantine.Key{Account: "b", Fingerprint: "f"}, "b1/1"), 1)
	is.True(s.remove(key))
	is.True(!s.remove(key))
	s.expire(now.Add(quarantine.DefaultLimits().CrashTTL - 1))
	is.Equal(len(s), 1)
	s.expire(now.Add(quarantine.DefaultLimits().CrashTTL))
	is.Equal(len(s), 0)
	for i := range maxSuspects + 10 {
		s.add(now, quarantine.Key{Fingerprint: fmt.Sprint(i)}, "b1/1")
	}
	is.Equal(len(s), maxSuspects)
}
