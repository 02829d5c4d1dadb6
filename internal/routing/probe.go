package routing

import "time"

const (
	// probeInterval is the age of a load report at which a new one is
	// requested.
	probeInterval = 500 * time.Millisecond
	// probeRecency is how long after its last request a backend server is still
	// probed, if there are more than maxProbeAll.
	probeRecency = time.Second
	// maxProbeAll is the number of backend servers up to which all of them are
	// probed.
	maxProbeAll = 32
	// maxProbes limits the number of probes of one call of ProbeDue when there
	// are more backend servers.
	maxProbes = 8
)

// ProbeDue appends to dst the names of the engines whose agents should be
// probed for their load now, in the order of the view, and returns it. It must
// be called every probeInterval. With many backend servers only the recently used
// ones are probed, so that the probe traffic does not grow with their number.
func (r *Router) ProbeDue(now time.Time, dst []string) []string {
	few := len(r.order) <= maxProbeAll
	most := len(dst) + maxProbes
	for _, s := range r.order {
		if s.backend.Service != "" || s.reportAge(now) < probeInterval {
			continue
		}
		if few || len(dst) < most && now.Sub(s.lastSent()) < probeRecency {
			dst = append(dst, s.backend.Name)
		}
	}
	return dst
}

// lastSent returns when this router last sent a request to the backend server.
func (s *server) lastSent() time.Time {
	return s.sent[(s.sentNext+sentHistory-1)%sentHistory].at
}
