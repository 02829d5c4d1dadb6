package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSamples is the number of recent first tokens from which the speed of
	// a backend server is estimated.
	speedSamples = 8
	// minSlowRatio is the least ratio of a backend server's bestRatio to the mean
	// of its pool at which the backend server counts as slow.
	minSlowRatio = 1.5
	// slowdownHalfLife is the time in which an estimate without new
	// observations loses half its weight.
	slowdownHalfLife = 3 * time.Second
	// minRateTokens is the least number of computed tokens from which a prefill
	// rate is learned.
	minRateTokens = 512
)

// speed estimates the speed of a backend server from the best of its recent
// times to first token. A wait in the queue delays some first tokens on any
// engine, but only a slow engine delays all of them.
type speed struct {
	// ratios holds the recent ratios of observed to predicted time to first
	// token.
	ratios [speedSamples]float32
	// count is the number of observations.
	count int
	// bestRatio is the lowest of ratios; 0 until there are speedSamples
	// observations.
	bestRatio float64
	// at is the time of the last observation.
	at time.Time
}

// observe records the time to one first token, and the time that was predicted
// for it on an engine of mean speed.
func (s *speed) observe(now time.Time, observed, predicted time.Duration) {
	s.ratios[s.count%speedSamples] = float32(observed) / float32(max(predicted, time.Millisecond))
	s.count++
	s.at = now
	if s.count >= speedSamples {
		s.bestRatio = float64(slices.Min(s.ratios[:]))
	}
}

// slowdown returns by which factor the backend server is slower than the mean
// of its pool; 1 unless it is clearly slower. Without new observations the
// factor decays, so that the backend server is tried again.
func (s *speed) slowdown(now time.Time, mean float64) float64 {
	if s.bestRatio == 0 || mean <= 0 || s.bestRatio < minSlowRatio*mean {
		return 1
	}
	age := max(0, now.Sub(s.at))
	return 1 + (s.bestRatio/mean-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// prefillRate estimates the prefill rate of a model's engines, in tokens a
// second. It follows fast requests quickly and slow ones slowly, since a slow
// one may contain a wait.
type prefillRate float64

func (p *prefillRate) observe(recomputed uint32, took time.Duration) {
	if recomputed < minRateTokens || took <= 0 {
		return
	}
	const up, down = 0.2, 0.02
	sample := float64(recomputed) / took.Seconds()
	weight := down
	if sample > float64(*p) {
		weight = up
	}
	*p += prefillRate(weight * (sample - float64(*p)))
}
