package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// speedSamples is the number of first tokens by which a backend server's
	// speed is judged.
	speedSamples = 8
	// minSlowRatio is the least factor that counts as slow.
	minSlowRatio = 1.5
	// slowdownHalfLife is the time in which a judgement loses half its weight.
	slowdownHalfLife = 3 * time.Second
	// minRateTokens is the least recomputed length from which a prefill rate
	// is learnt.
	minRateTokens = 512
)

// speed judges a backend server by the best of its last first tokens: waiting
// in a queue now and then makes a first token late, but only a slow engine
// makes all of them late.
type speed struct {
	ratios [speedSamples]float32
	count  int
	// bestRatio is the lowest ratio of observed to expected time; 0 until enough
	// was observed.
	bestRatio float64
	at        time.Time
}

// observe learns from the time to one first token and the time predicted for
// it at a mean engine.
func (s *speed) observe(now time.Time, observed, predicted time.Duration) {
	s.ratios[s.count%speedSamples] = float32(observed) / float32(max(predicted, time.Millisecond))
	s.count++
	s.at = now
	if s.count >= speedSamples {
		s.bestRatio = float64(slices.Min(s.ratios[:]))
	}
}

// slowdown returns by how much slower than the mean of its pool the backend
// server is; 1 unless it is clearly slower. Without new observations the
// judgement fades, so that the backend server is tried again.
func (s *speed) slowdown(now time.Time, mean float64) float64 {
	if s.bestRatio == 0 || mean <= 0 || s.bestRatio < minSlowRatio*mean {
		return 1
	}
	age := max(0, now.Sub(s.at))
	return 1 + (s.bestRatio/mean-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// prefillRate learns the prefill rate of a model's engines, in tokens a
// second. It follows fast requests quickly and slow ones reluctantly, since a
// wait hides in the latter.
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
