package control

import "time"

const (
	// eventsShare is the part of the time that a leader may spend on reading cache events. The rest is for the
	// consensus and for what callers wait for: at the start of a term the history of all engines is read.
	eventsShare = 0.1
	// firstBatchCost is the assumed cost of a batch until one has been read.
	firstBatchCost = 5 * time.Millisecond
	// maxBatchCost limits what one batch counts, so that a source whose batches take long to read does not
	// keep the others waiting for longer than 0.2 s each time.
	maxBatchCost = 20 * time.Millisecond
	// eventsBurst is the cost of batches that may be read at once after a time with few events.
	eventsBurst = 5 * time.Millisecond
	// costSmoothing is the weight of a new batch in the mean cost of a batch.
	costSmoothing = 0.25
)

// eventPace spreads requests for batches of cache events, so that reading them takes at most eventsShare of
// the time. A batch that takes longer because the process lacks processor time delays the next ones
// for longer. It is not safe for concurrent use.
type eventPace struct {
	// free is when the next batch may be requested.
	free time.Time
	// mean is the mean cost of a batch; 0 until one has been read.
	mean time.Duration
}

// wait returns for how long the next request has to wait.
func (p *eventPace) wait(now time.Time) time.Duration { return max(0, p.free.Sub(now)) }

// reserve records that a batch is requested, and returns the cost that is reserved for it.
func (p *eventPace) reserve(now time.Time) (reserved time.Duration) {
	if earliest := now.Add(-pauseFor(eventsBurst)); p.free.Before(earliest) {
		p.free = earliest
	}
	reserved = p.mean
	if reserved == 0 {
		reserved = firstBatchCost
	}
	p.free = p.free.Add(pauseFor(reserved))
	return reserved
}

// done records that a batch has been read, and how long that took; 0 if none came.
func (p *eventPace) done(reserved, took time.Duration) {
	took = min(took, maxBatchCost)
	p.free = p.free.Add(pauseFor(took - reserved))
	switch {
	case took <= 0:
	case p.mean == 0:
		p.mean = took
	default:
		p.mean += time.Duration(costSmoothing * float64(took-p.mean))
	}
}

// pauseFor returns the time in which a cost is eventsShare of the time.
func pauseFor(cost time.Duration) time.Duration { return time.Duration(float64(cost) / eventsShare) }
