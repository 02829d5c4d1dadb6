// Package standin simulates a model engine or a plain service for tests and
// demos. It serves real HTTP, simulates continuous batching, a bounded prefix
// cache and slow model loads, and injects faults on command. It runs no model: its
// output tokens are hashes of prompt, model, weights version and position.
package standin

import (
	"errors"
	"fmt"
	"time"

	"parsleypulley/internal/engine/dialect"
)

// Kinds of backend server.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Defaults of Options.
const (
	defaultMaxRunning   = 16
	defaultCacheBlocks  = 4096
	defaultBlockTokens  = 16
	defaultOutputTokens = 16
	// eventHistory is the number of cache events kept for readers that fetch them
	// again.
	eventHistory = 4096
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20
)

// Options are the settings of a stand-in.
type Options struct {
	// Address to listen on, ip:port; port 0 picks a free one.
	Address string
	// Kind is KindEngine or KindService.
	Kind string
	// Models are the models that an engine has loaded when it starts, also after a
	// crash.
	Models []dialect.Model
	// SoftwareVersion is the version of the software that the server says it has.
	SoftwareVersion string
	// MaxRunning is the number of requests that run at a time; further ones wait.
	MaxRunning int
	// CacheBlocks is the capacity of the prefix cache in blocks, and BlockTokens
	// the number of tokens in a block.
	CacheBlocks, BlockTokens int
	// OutputTokens is the number of output tokens for a request without max_tokens.
	OutputTokens int
	// PrefillPerToken is the time to compute one prompt token that isn't cached.
	PrefillPerToken time.Duration
	// DecodePerToken is the duration of a decoding step with one running request.
	DecodePerToken time.Duration
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// EventDelay is the time until a cache event can be read.
	EventDelay time.Duration
	// EventLoss is the probability that a cache event is left out of the first read
	// that covers it.
	EventLoss float64
	// WeightLoad is the time to load a model, a version or an adapter.
	WeightLoad time.Duration
	// RestartDelay is the time between a crash and the restart.
	RestartDelay time.Duration
	// ChecksFencing makes the engine refuse orders with an outdated fencing token.
	ChecksFencing bool
	// Latency is the time that a plain service takes to answer.
	Latency time.Duration
	// Seed seeds the random choice of lost cache events.
	Seed uint64
}

func (o *Options) setDefaults() {
	setDefault(&o.Address, "127.0.0.1:0")
	setDefault(&o.Kind, KindEngine)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.CacheBlocks, defaultCacheBlocks)
	setDefault(&o.BlockTokens, defaultBlockTokens)
	setDefault(&o.OutputTokens, defaultOutputTokens)
}

func setDefault[T comparable](p *T, value T) {
	var zero T
	if *p == zero {
		*p = value
	}
}

func (o *Options) validate() error {
	var problems []error
	if o.Kind != KindEngine && o.Kind != KindService {
		problems = append(problems, fmt.Errorf("kind %q: want %s or %s", o.Kind, KindEngine, KindService))
	}
	if o.EventLoss < 0 || o.EventLoss > 1 {
		problems = append(problems, fmt.Errorf("event loss %g: want 0 to 1", o.EventLoss))
	}
	if o.MaxRunning < 0 || o.CacheBlocks < 0 || o.BlockTokens < 0 || o.OutputTokens < 0 {
		problems = append(problems, errors.New("counts must not be negative"))
	}
	return errors.Join(problems...)
}
