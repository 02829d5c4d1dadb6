package crashreport

import (
	"time"

	"parsleypulley/internal/quarantine"
)

// suspects holds the requests under which this router has seen engines crash and that have
// not completed since.
type suspects map[quarantine.Key]*suspect

type suspect struct {
	// crashIDs identifies the incarnations of engines that have crashed.
	crashIDs map[string]bool
	last     time.Time
}

// maxSuspects limits the number of suspects; further ones are counted by the control
// replicas only.
const maxSuspects = 1024

// add records the crash of an incarnation of an engine, and returns how many have crashed
// under the request.
func (s suspects) add(now time.Time, key quarantine.Key, crashID string) int {
	entry := s[key]
	if entry == nil {
		if len(s) >= maxSuspects {
			return 0
		}
		entry = &suspect{crashIDs: map[string]bool{}}
		s[key] = entry
	}
	entry.last = now
	entry.crashIDs[crashID] = true
	return len(entry.crashIDs)
}

// remove removes a suspect and reports whether it was one.
func (s suspects) remove(key quarantine.Key) bool {
	_, known := s[key]
	delete(s, key)
	return known
}

// expire removes the suspects that have seen no crash for as long as the control replicas
// keep a count.
func (s suspects) expire(now time.Time) {
	ttl := quarantine.DefaultLimits().CrashTTL
	for key, entry := range s {
		if now.Sub(entry.last) >= ttl {
			delete(s, key)
		}
	}
}
