package router

import (
	"sync"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

// backendSelector makes a routing.Router safe for concurrent use.
type backendSelector struct {
	mu     sync.Mutex
	router *routing.Router
}

func newBackendSelector(domain string, seed uint64) *backendSelector {
	return &backendSelector{router: routing.New(domain, seed)}
}

func (c *backendSelector) update(s *view.Snapshot) {
	preset := s.Config.Preset
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.SetSettings(routing.Settings{
		RecomputeWeight:  preset.RecomputeWeight,
		WaitWeight:       preset.WaitWeight,
		ColdStartReserve: float64(preset.ColdStartReservePercent) / 100,
		ImportRate:       float64(preset.KVImportRate),
	})
	c.router.SetBackends(time.Now(), s.Members())
}

// startAttempt chooses a backend server and counts an attempt as started on it.
func (c *backendSelector) startAttempt(req *routing.Request) (*routing.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	d, err := c.router.Choose(now, req)
	if err != nil {
		return nil, err
	}
	c.router.Started(now, d)
	return d, nil
}

// expectedWork returns the expected number of prompt tokens that an engine has to
// compute for req. It returns prompt if no backend server can be chosen now.
func (c *backendSelector) expectedWork(req *routing.Request, prompt uint32) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	d, err := c.router.Choose(time.Now(), req)
	if err != nil {
		return prompt
	}
	return d.PromptTokens - d.CachedTokens
}

func (c *backendSelector) firstToken(d *routing.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.FirstToken(time.Now(), d)
}

func (c *backendSelector) finished(d *routing.Decision, end *wire.End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Finished(time.Now(), d, end)
}

func (c *backendSelector) failed(d *routing.Decision, kind fault.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Failed(time.Now(), d, kind)
}

func (c *backendSelector) probeDue() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.ProbeDue(time.Now(), nil)
}

func (c *backendSelector) occupancy(req *routing.Request) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.router.Occupancy(time.Now(), req)
}

func (c *backendSelector) probed(backend string, reply *wire.ProbeReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Probe(time.Now(), backend, reply)
}

func (c *backendSelector) load(backend string, load *wire.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.router.Load(time.Now(), backend, load)
}
