// Package reach finds out whether a machine answers on the network at all, regardless of
// what the process on it does: the kernel accepts or refuses a TCP connection also while
// the process is busy or stopped.
package reach

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// secondDialAfter is the time after which a second connection is opened if the first
	// one is still open: one lost packet must not count as silence, and the kernel repeats
	// a lost SYN only after a second.
	secondDialAfter = 100 * time.Millisecond
	// checkTimeout limits a check. It allows for some round trips within a region.
	checkTimeout = 250 * time.Millisecond
	// maxOverrun is how much longer than its time-out a check may take for its result to
	// count. A check of a process that was paused meanwhile says nothing about its peer.
	maxOverrun = 100 * time.Millisecond
	// lateCheckTimeout limits the connection that decides after a check that has ended late. It allows
	// for a round trip within a region.
	lateCheckTimeout = 100 * time.Millisecond
	// ShareFor is how long after the beginning of a check a Monitor returns its result instead
	// of running another one.
	ShareFor = 500 * time.Millisecond
)

// Dialer opens connections. It is implemented by *net.Dialer.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Result is the result of a check.
type Result uint8

// The results of checks.
const (
	// Unknown means that the check could not tell, for instance since this process has no
	// file descriptor left. It must not be taken for silence.
	Unknown Result = iota
	// Reachable means that the machine accepted or refused a connection.
	Reachable
	// Unreachable means that the machine did not answer.
	Unreachable
	// NoneReachable means that neither the machine nor the witness answered: the network of this
	// process is slow or fails.
	NoneReachable
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	switch r {
	case Reachable:
		return "reachable"
	case Unreachable:
		return "unreachable"
	case NoneReachable:
		return "none_reachable"
	}
	return "unknown"
}

// Check opens up to two connections to address, 100 ms apart, and closes them. The address
// is reachable if one of them is established or refused within 250 ms. If the process was paused meanwhile,
// a third one decides within 100 ms.
func Check(ctx context.Context, address string) Result {
	return CheckWith(ctx, &net.Dialer{}, address)
}

// CheckWith is Check with connections of dialer.
func CheckWith(ctx context.Context, dialer Dialer, address string) Result {
	return check(ctx, dialer, address, nil, time.Now)
}

// Witness returns the address of another machine, which must be known to run, or "" if none is. If it
// does not answer either, the network of this process is at fault and not the machine that is checked.
type Witness func() string

// check is CheckWith with a clock. If the check ends late, one more connection decides: while this
// process did not run, it may have missed the answer. witness may be nil.
func check(ctx context.Context, dialer Dialer, address string, witness Witness, now func() time.Time) Result {
	result, late := dialWithin(ctx, dialer, address, witness, checkTimeout, 2, now)
	if late && (result == Unreachable || result == NoneReachable) {
		result, late = dialWithin(ctx, dialer, address, witness, lateCheckTimeout, 1, now)
	}
	if (result == Unreachable || result == NoneReachable) && (late || ctx.Err() != nil) {
		return Unknown
	}
	return result
}

// dialWithin opens up to the given number of connections, one or two, and waits for them until timeout.
// With the last one it opens one to the witness, as both have to be answered in the same time. late is
// set if this process took more than maxOverrun longer than timeout.
func dialWithin(ctx context.Context, dialer Dialer, address string, witness Witness, timeout time.Duration, dials int, now func() time.Time) (result Result, late bool) {
	began := now()
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan Result, dials)
	dial := func() { results <- dialOnce(dialCtx, dialer, address) }
	var witnessResult chan Result // nil if there is no witness
	dialWitness := func() {
		if witness == nil {
			return
		}
		if other := witness(); other != "" {
			witnessResult = make(chan Result, 1)
			go func() { witnessResult <- dialOnce(dialCtx, dialer, other) }()
		}
	}
	go dial()
	if dials == 1 {
		dialWitness()
	}
	second := time.NewTimer(secondDialAfter)
	defer second.Stop()
	result = Unreachable
	witnessed, answered := false, Unreachable
	for open, started := 1, 1; open > 0 || started < dials || witnessResult != nil && !witnessed; {
		select {
		case r := <-results:
			open--
			if r == Reachable {
				return Reachable, false
			}
			if r == Unknown {
				result = Unknown
			}
		case <-second.C:
			if started < dials {
				started++
				open++
				go dial()
				dialWitness()
			}
		case answered = <-witnessResult:
			witnessed = true
		case <-dialCtx.Done():
			// A dialer that does not return by itself must not hold up the check.
			started, open, witnessed = dials, 0, true
		}
	}
	select {
	case r := <-results: // established at the same time as the time-out
		if r == Reachable {
			return Reachable, false
		}
	default:
	}
	if witnessResult != nil && answered != Reachable && result == Unreachable {
		result = Unknown
		if answered == Unreachable {
			result = NoneReachable
		}
	}
	return result, now().Sub(began) > timeout+maxOverrun
}

// dialOnce opens and closes a connection.
func dialOnce(ctx context.Context, dialer Dialer, address string) Result {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		_ = conn.Close()
		return Reachable
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return Reachable
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH),
		errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return Unreachable
	}
	return Unknown
}

// Finding is the result of a check and the time at which it began.
type Finding struct {
	Result Result
	Began  time.Time
}

// Monitor runs checks, one for an address at a time, and shares their results. It is safe
// for concurrent use.
type Monitor struct {
	check func(ctx context.Context, address string, witness Witness) Result

	mu    sync.Mutex
	known map[string]*sharedCheck
}

// sharedCheck is a check that runs or has ended.
type sharedCheck struct {
	// done is closed when the check has ended. finding.Result must not be read before.
	done    chan struct{}
	finding Finding
}

// recent reports whether the result may still be shared.
func (s *sharedCheck) recent(now time.Time) bool {
	select {
	case <-s.done:
		return now.Sub(s.finding.Began) < ShareFor
	default:
		return true
	}
}

// NewMonitor returns a Monitor that opens connections with dialer; nil stands for a
// *net.Dialer. observe is called with the result of each check and may be nil.
func NewMonitor(dialer Dialer, observe func(address string, r Result)) *Monitor {
	if dialer == nil {
		dialer = &net.Dialer{}
	}
	return &Monitor{known: map[string]*sharedCheck{}, check: func(ctx context.Context, address string, witness Witness) Result {
		r := check(ctx, dialer, address, witness, time.Now)
		if observe != nil {
			observe(address, r)
		}
		return r
	}}
}

// Check returns the result of the check of address that runs now or has begun within the
// last ShareFor, and runs one otherwise, with a witness, which may be nil. It returns Unknown if ctx
// ends first.
func (m *Monitor) Check(ctx context.Context, address string, witness Witness) Finding {
	now := time.Now()
	m.mu.Lock()
	s := m.known[address]
	if s == nil || !s.recent(now) {
		s = &sharedCheck{done: make(chan struct{}), finding: Finding{Began: now}}
		m.known[address] = s
		go m.run(context.WithoutCancel(ctx), address, witness, s)
	}
	m.mu.Unlock()
	select {
	case <-s.done:
		return s.finding
	case <-ctx.Done():
		return Finding{Result: Unknown, Began: now}
	}
}

// run runs a check and forgets it once its result is not shared any more.
func (m *Monitor) run(ctx context.Context, address string, witness Witness, s *sharedCheck) {
	s.finding.Result = m.check(ctx, address, witness)
	close(s.done)
	time.AfterFunc(ShareFor-time.Since(s.finding.Began), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.known[address] == s {
			delete(m.known, address)
		}
	})
}
