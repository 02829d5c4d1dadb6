package control

import "time"

// hello records that the router at a link address runs, if this replica leads.
func (l *leader) hello(address string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routers == nil {
		return l.notLeading()
	}
	l.routers.Hello(time.Now(), address)
	return nil
}

// listRouters returns routers that run for the load digest.
func (l *leader) listRouters() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routers == nil {
		return nil
	}
	return l.routers.List(time.Now())
}
