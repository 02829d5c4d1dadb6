package membership

import "time"

// LastHeartbeat returns when the last heartbeat of a backend server was accepted, or the zero
// time if there was none in this term.
func (l *Leases) LastHeartbeat(name string) time.Time {
	if entry := l.leases[name]; entry != nil {
		return entry.lastHeartbeat
	}
	return time.Time{}
}
