package routing

import (
	"maps"
	"math"
	"slices"
	"time"

	"parsleypulley/internal/permit"
	"parsleypulley/internal/wire"
)

const (
	// typicalRatio is the ratio to the typical speed up to which an engine counts as of typical
	// speed. Differences below it are balanced by the load reports well enough, and contexts
	// should not move for them.
	typicalRatio = 1.4
	// maxSpeedRatio limits the ratio, so that a slow engine always gets requests that show
	// whether it has recovered.
	maxSpeedRatio = 8
	// slownessStep is the step in which the slowness is told. A value that changes by less
	// is kept, so that contexts do not move between engines with the noise of samples.
	slownessStep = 1.15
	// sampleExpiry is the time after which an engine without samples is forgotten.
	sampleExpiry = 20 * time.Second
	// maxSpeedSamples limits the samples that a router sends in one message; newer ones
	// replace older ones.
	maxSpeedSamples = 16
	// speedInterval is the time between two messages that are sent for samples alone.
	speedInterval = time.Second
)

// SpeedTable learns the speed of engines from the samples of all routers. The leader of
// control keeps it; routers get the speeds with the load digest. It is a state machine
// without I/O and not safe for concurrent use.
type SpeedTable struct {
	engines map[permit.Key]*engineSpeed
}

// engineSpeed is what is known of one run of an engine.
type engineSpeed struct {
	speed
	// told is the slowness that was told last; 0 if none was.
	told float64
}

// NewSpeedTable returns a SpeedTable that knows no engine.
func NewSpeedTable() *SpeedTable { return &SpeedTable{engines: map[permit.Key]*engineSpeed{}} }

// Record records the samples of a router.
func (t *SpeedTable) Record(now time.Time, samples []*wire.SpeedSample) {
	for _, sample := range samples {
		if sample.GetEventGapUs() == 0 {
			continue
		}
		key := permit.Key(sample.GetServer())
		e := t.engines[key]
		if e == nil {
			e = &engineSpeed{}
			t.engines[key] = e
		}
		e.observe(now, time.Duration(sample.GetEventGapUs())*time.Microsecond, time.Millisecond)
	}
}

// Percent returns the speed of each engine of one service that is clearly slower or faster than
// the median one, in percent of that. It forgets engines without samples.
func (t *SpeedTable) Percent(now time.Time, service []permit.Key) map[permit.Key]uint32 {
	maps.DeleteFunc(t.engines, func(_ permit.Key, e *engineSpeed) bool { return now.Sub(e.at) > sampleExpiry })
	var ratios []float64
	for _, key := range service {
		if e := t.engines[key]; e != nil && e.bestRatio > 0 {
			ratios = append(ratios, e.bestRatio)
		}
	}
	if len(ratios) < 2 {
		return nil
	}
	slices.Sort(ratios)
	median := ratios[(len(ratios)-1)/2]
	percent := map[permit.Key]uint32{}
	for _, key := range service {
		e := t.engines[key]
		if e == nil || e.bestRatio == 0 {
			continue
		}
		slowness := min(max(e.bestRatio/median, 1/maxSpeedRatio), maxSpeedRatio)
		if slowness < typicalRatio && slowness > 1/typicalRatio {
			slowness = 1
		}
		if e.told == 0 || slowness == 1 || math.Abs(math.Log(slowness/e.told)) > math.Log(slownessStep) {
			e.told = slowness
		}
		if e.told != 1 {
			percent[key] = uint32(100 / e.told)
		}
	}
	return percent
}

// sampleBuffer holds the samples of a router until they are sent.
type sampleBuffer struct {
	samples []*wire.SpeedSample
	sentAt  time.Time
}

// add adds a short time between two events of an answer.
func (s *sampleBuffer) add(key permit.Key, gap time.Duration) {
	if len(s.samples) == maxSpeedSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, &wire.SpeedSample{Server: uint64(key), EventGapUs: uint32(min(gap.Microseconds(), math.MaxUint32))})
}

const (
	// gapsPerSample is the number of times between events from which one sample is taken, and
	// minGaps the least number at the end of an answer.
	gapsPerSample = 16
	minGaps       = 6
	// shortGap is such that one in shortGap of the times is shorter than the sample. Longer
	// ones contain prefills, which say nothing about the speed; the shortest ones are distorted
	// by the network.
	shortGap = 5
)

// GapSampler takes samples of an engine's speed from the times at which the events of one
// answer arrive. The zero value has seen no event.
type GapSampler struct {
	last time.Time
	gaps [gapsPerSample]time.Duration
	n    int
}

// Event records that an event has arrived. It returns a sample if one is complete, and 0
// otherwise.
func (g *GapSampler) Event(now time.Time) time.Duration {
	if !g.last.IsZero() {
		g.gaps[g.n] = now.Sub(g.last)
		g.n++
	}
	g.last = now
	if g.n < gapsPerSample {
		return 0
	}
	return g.End()
}

// End returns the sample of the events since the last one, or 0 if they are too few.
func (g *GapSampler) End() time.Duration {
	gaps := g.gaps[:g.n]
	g.n = 0
	if len(gaps) < minGaps {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/shortGap]
}

// fill adds the samples to the request for permits that is due, which may be nil. A message is
// made for samples alone once in speedInterval.
func (s *sampleBuffer) fill(now time.Time, router string, req *wire.PermitRequest) *wire.PermitRequest {
	if len(s.samples) == 0 || req == nil && now.Sub(s.sentAt) < speedInterval {
		return req
	}
	if req == nil {
		req = &wire.PermitRequest{Router: router}
	}
	req.Speeds, s.samples, s.sentAt = s.samples, nil, now
	return req
}
