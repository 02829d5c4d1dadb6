package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"parsleypulley/internal/backoff"
	"parsleypulley/internal/fleet"
	"parsleypulley/internal/recovery"
	"parsleypulley/internal/steady"
	"parsleypulley/internal/wire"
)

const (
	// agesTimeout limits one call that asks another process for the ages of weights versions.
	agesTimeout = time.Second
	// maxAgesSources is the number of processes that are asked at the same time: all control
	// processes of the known deployments, and some routers.
	maxAgesSources = 12
	// Between two rounds of these calls are minAgesDelay at first, and twice as long after each
	// round without an answer, up to maxAgesDelay.
	minAgesDelay = 100 * time.Millisecond
	maxAgesDelay = 4 * time.Second
)

// Peers is how a replica asks other processes for their view.
type Peers struct {
	// Call calls the process at a link address.
	Call func(ctx context.Context, address string, req *wire.Request) (*wire.Response, error)
	// ControlAddresses returns the configured link addresses of the control processes.
	ControlAddresses func() []string
}

// fetchAges asks other processes when the weights versions in the view were named, until it is
// known or so long ago that nobody tells. A replica has versions of unknown age after a start,
// because neither its log nor a snapshot has their ages.
func (s *Service) fetchAges(ctx context.Context) {
	start, delay := steady.Now(), minAgesDelay
	for steady.Since(start) < fleet.MaxTargetAge && backoff.Sleep(ctx, delay) {
		if !s.machine.Log().Targets().HasUnknownAge() {
			delay = minAgesDelay // the log may not have been applied yet
			continue
		}
		delay = min(2*delay, maxAgesDelay)
		var calls sync.WaitGroup
		for _, address := range s.agesSources() {
			calls.Go(func() { recovery.Run("weights ages", func() { s.fetchAgesFrom(ctx, address) }) })
		}
		calls.Wait()
	}
}

// agesSources returns the link addresses of other processes that may know the ages: control
// processes, and routers, of which only the leader knows any.
func (s *Service) agesSources() []string {
	self := s.node.Status().Address
	var others []string
	for _, address := range slices.Concat(s.replicas(), s.peers.ControlAddresses(), s.leader.listRouters()) {
		if address != self && !slices.Contains(others, address) {
			others = append(others, address)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), maxAgesSources)]
}

// fetchAgesFrom merges the ages that one process tells. Errors are ignored: the next round asks again.
func (s *Service) fetchAgesFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, agesTimeout)
	defer cancel()
	log, started := s.machine.Log(), steady.Now()
	version := log.Version()
	resp, err := s.peers.Call(ctx, address, &wire.Request{ViewVersion: version, Body: &wire.Request_FetchView{FetchView: &wire.FetchView{FromVersion: version}}})
	if err != nil {
		return
	}
	log.Targets().Merge(started, resp.GetViewUpdate().GetWeightsAges())
}
