package routing

import "time"

const (
	// probeInterval is the age of a load report from which another is worth asking
	// for.
	probeInterval = 500 * time.Millisecond
	// probeRecency is how lately a backend server must have been used to be probed,
	// when there are more than probeAll.
	probeRecency = time.Second
	// maxProbeAll is the number of backend servers up to which all are probed.
	maxProbeAll = 32
	// maxProbes bounds the probes of one call when there are more.
	maxProbes = 8
)

// ProbeDue appends the names of the engines whose agents are worth asking for their load now, in the order of the view. Drivers call it every
// probeAge. Among many backend servers only those lately used are asked, so
// that the traffic of probes does not grow with their number.
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
