package router

import (
	"sync"
	"time"

	"parsleypulley/internal/event"
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

func (s *backendSelector) update(snapshot *view.Snapshot) {
	preset := snapshot.Config.Preset
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.SetSettings(routing.Settings{
		RecomputeWeight:  preset.RecomputeWeight,
		WaitWeight:       preset.WaitWeight,
		ColdStartReserve: float64(preset.ColdStartReservePercent) / 100,
		ImportRate:       float64(preset.KVImportRate),
	})
	s.router.SetBackends(time.Now(), snapshot.Members())
}

// startAttempt chooses a backend server and counts an attempt as started on it.
func (s *backendSelector) startAttempt(req *routing.Request) (*routing.Decision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	d, err := s.router.Choose(now, req)
	if err != nil {
		return nil, err
	}
	s.router.Started(now, d)
	return d, nil
}

// expectedWork returns the expected number of prompt tokens that an engine has to
// compute for req. It returns prompt if no backend server can be chosen now.
func (s *backendSelector) expectedWork(req *routing.Request, prompt uint32) uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, err := s.router.Choose(time.Now(), req)
	if err != nil {
		return prompt
	}
	return d.PromptTokens - d.CachedTokens
}

func (s *backendSelector) firstToken(d *routing.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.FirstToken(time.Now(), d)
}

func (s *backendSelector) finished(d *routing.Decision, end *wire.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.Finished(time.Now(), d, end)
}

// saidLeaving records that the backend server of an attempt has said that it leaves.
func (s *backendSelector) saidLeaving(d *routing.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.router.SaidLeaving(time.Now(), d) {
		event.BackendSaysItLeaves(d.Backend.Name, d.Backend.AgentAddress)
	}
}

// failed reports a failed attempt. Only engines set a time to come back in their errors.
func (s *backendSelector) failed(d *routing.Decision, e *fault.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if e.RetryAfter > 0 {
		s.router.AskedForQuiet(now, d, e.RetryAfter)
	}
	s.router.Failed(now, d, e.Kind)
}

func (s *backendSelector) probeDue() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.ProbeDue(time.Now(), nil)
}

func (s *backendSelector) occupancy(req *routing.Request) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.Occupancy(time.Now(), req)
}

func (s *backendSelector) probed(backend string, reply *wire.ProbeReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.ProbeReplied(time.Now(), backend, reply)
}

func (s *backendSelector) applyLoad(backend string, load *wire.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.router.LoadReported(time.Now(), backend, load)
}
