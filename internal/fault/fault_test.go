package fault

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEveryKindHasAnAnswer(t *testing.T) {
	is := is.New(t)
	codes := map[string]Kind{}
	for _, k := range Kinds() {
		response := k.Response()
		is.True(response.Status >= 400 && response.Status < 600) // an error status
		is.True(response.Type != "" && response.Code != "")      // both fields are filled
		_, seen := codes[response.Code]
		is.True(!seen) // codes are unique
		codes[response.Code] = k
	}
}

func TestWireRoundTrip(t *testing.T) {
	is := is.New(t)
	in := New(Overloaded, NotRun, "queue of %d is full", 7).WithRetryAfter(1500 * time.Millisecond)
	in.Leader = "127.0.0.1:1"
	out := FromWire(ToWire(in))
	is.Equal(out.Error(), in.Error())
	is.Equal(out.Outcome, NotRun)
	is.Equal(out.RetryDelay(), 1500*time.Millisecond)
	is.Equal(out.Leader, in.Leader)
	is.True(FromWire(nil) == nil)
	is.True(ToWire(nil) == nil)
}

func TestFromKeepsTheKindThroughWrapping(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("choosing: %w", New(NoBackend, NotRun, "none left"))
	is.Equal(From(err).Kind, NoBackend)
	is.True(Is(err, NoBackend))
	plain := From(errors.New("boom"))
	is.Equal(plain.Kind, Internal)
	is.Equal(plain.Outcome.String(), "unknown")
	is.True(From(nil) == nil)
}
