package control

import "time"

const (
	// minReportsPerInterval is the number of engines queried in one interval at least. With
	// 3,000 engines each is then queried every 8 s; routers take a report for outdated after
	// 5 s and then go by what they have sent themselves.
	minReportsPerInterval = 192
	// queryPaceStep is the number in the first interval of a term, and by how much it grows in one
	// interval: within 2 s from the least to the most. A new leader has a connection to no engine yet,
	// and opening them all at once takes its processor from the consensus.
	queryPaceStep = 48
	// maxQueryLag is how far the leader may be behind before it queries fewer engines. A
	// query that waits for the processor for longer may fail after loadTimeout, and engines
	// are suspected after two of these.
	maxQueryLag = 150 * time.Millisecond
)

// queryPace is the number of engines to query in one interval. The zero value is ready for use.
type queryPace struct{ limit int }

// next returns the number for the next interval. behind is how far the process is behind for
// lack of processor time.
func (p *queryPace) next(behind time.Duration) int {
	switch {
	case p.limit == 0:
		p.limit = queryPaceStep
	case behind > maxQueryLag:
		p.limit = max(p.limit/2, min(p.limit, minReportsPerInterval))
	default:
		p.limit = min(p.limit+queryPaceStep, maxReportsPerInterval)
	}
	return p.limit
}

// behind returns how far the process is behind for lack of processor time.
func (l *leader) behind() time.Duration {
	if l.options.Behind == nil {
		return 0
	}
	return l.options.Behind()
}
