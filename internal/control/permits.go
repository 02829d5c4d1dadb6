package control

import (
	"time"

	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

// grantPermits answers a router's request for permits if this replica leads.
func (l *leader) grantPermits(req *wire.PermitRequest) (*wire.PermitReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits == nil {
		return nil, l.notLeading()
	}
	return l.permits.Handle(time.Now(), req), nil
}

// limits returns limits of backend servers for the load digest.
func (l *leader) limits(members []*wire.Member) []*wire.ServerLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.permits == nil || l.permits.Empty() {
		return nil
	}
	known := make(map[permit.Key]bool, len(members))
	for _, m := range members {
		known[permit.KeyOf(m.GetBackend())] = true
	}
	return l.permits.Limits(time.Now(), func(key permit.Key) bool { return known[key] })
}
