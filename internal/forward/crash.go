package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"expvar"
	"io"
	"slices"
	"sync"
	"syscall"
	"time"

	"parsleypulley/internal/crashreport"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
	"parsleypulley/internal/httptarget"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/routing"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// endCheckTimeout limits the check whether a backend server that broke off has ended.
	endCheckTimeout = 100 * time.Millisecond
	// endSettleTime is the time in which a process that ends closes its listener after its
	// connections, and maxEndChecks limits the connections opened to find out.
	endSettleTime = 5 * time.Millisecond
	maxEndChecks  = 3
	// minRestartTime is the time in which no server ends and another process listens in its place:
	// supervisors wait at least as long before they start one anew.
	minRestartTime = 100 * time.Millisecond
	// crashCountWait limits how long a call waits until its crash is counted. It covers a
	// commit of the control replicas while they have a leader.
	crashCountWait = 100 * time.Millisecond
	// answerProofTime is how long a backend server must have gone on after the first event
	// of an answer to prove that the parts of the prompt did not end it.
	answerProofTime = 500 * time.Millisecond
	// replacementTimeout is how long after an attempt broke off another backend server at
	// the same address is taken for proof that the first one ended. It covers the time until
	// the other one has registered itself. maxBrokenOff limits the attempts remembered.
	replacementTimeout = 5 * time.Second
	maxBrokenOff       = 256
	// quarantineRetryAfter is the Retry-After time of quarantined calls: it is of no use to
	// come back soon.
	quarantineRetryAfter = time.Minute
)

// Reasons for which calls are refused.
const (
	callReason = "the backend servers that ran it ended"
	partReason = "the backend servers that ran calls with a part of its prompt ended"
)

// crashes counts the ends of backend servers under calls of this router, and the calls
// refused since they are quarantined.
var crashes = expvar.NewMap("forward_crashes")

// crashGuard finds out which calls end the backend servers that run them, and refuses
// these. It is safe for concurrent use.
type crashGuard struct {
	reporter *crashreport.Reporter
	mu       sync.Mutex
	// brokenOff holds the attempts that broke off while something listened at the address
	// of their backend server, the oldest first.
	brokenOff []brokenOff
	// waiting holds the attempts that wait for the first event of an answer to a prompt.
	waiting map[*forwardedCall]context.CancelCauseFunc
}

// brokenOff is an attempt whose backend server may have ended.
type brokenOff struct {
	at      time.Time
	address string
	// reports holds the report of the call and those of the parts of its prompt.
	reports []*wire.CrashReport
}

func newCrashGuard(reporter *crashreport.Reporter) *crashGuard {
	return &crashGuard{reporter: reporter, waiting: map[*forwardedCall]context.CancelCauseFunc{}}
}

// errPartQuarantined is the cause of the end of attempts that wait at a backend server when a
// part of their prompt is quarantined.
var errPartQuarantined = errors.New("a part of the prompt is quarantined")

// begin records an attempt that waits for its answer, and end that it does not any more.
func (g *crashGuard) begin(c *forwardedCall, cancel context.CancelCauseFunc) {
	if len(c.sharedParts()) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[c] = cancel
}

func (g *crashGuard) end(c *forwardedCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiting, c)
}

// cancelQuarantined ends the attempts that wait with a part of their prompt that is
// quarantined: each of them would end its backend server.
func (g *crashGuard) cancelQuarantined() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, cancel := range g.waiting {
		if g.reporter.Quarantined(c.partKeys...) {
			cancel(errPartQuarantined)
		}
	}
}

// addBrokenOff remembers an attempt that broke off, until the view tells whether another
// backend server has taken the place of its own.
func (g *crashGuard) addBrokenOff(now time.Time, address string, reports []*wire.CrashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.brokenOff) >= maxBrokenOff {
		g.brokenOff = slices.Delete(g.brokenOff, 0, 1)
	}
	g.brokenOff = append(g.brokenOff, brokenOff{now, address, reports})
}

// replaced returns the attempts that broke off since their backend server
// ended: another one has its address in the view.
func (g *crashGuard) replaced(now time.Time, s *view.Snapshot) []brokenOff {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.brokenOff) == 0 {
		return nil
	}
	addresses := backendAddresses(s)
	var found []brokenOff
	g.brokenOff = slices.DeleteFunc(g.brokenOff, func(b brokenOff) bool {
		if s.Member(b.reports[0].GetBackend()) == nil && addresses[b.address] {
			found = append(found, b)
			return true
		}
		return now.Sub(b.at) >= replacementTimeout
	})
	return found
}

// quarantineKey returns the key by which the call is recognised when it comes again: its
// account, method, target and body.
func (c *forwardedCall) quarantineKey() quarantine.Key {
	if c.fingerprint == nil {
		target := c.r.Method + " " + c.r.Host + httptarget.Path(c.r)
		if c.r.URL.ForceQuery || c.r.URL.RawQuery != "" {
			target += "?" + c.r.URL.RawQuery
		}
		c.fingerprint = quarantine.SharedFingerprint(prefix.Fingerprint(c.account.GetName(), target, c.body))
	}
	account := c.account.GetName()
	if account == "" {
		account = quarantine.PublicAccount
	}
	return quarantine.Key{Account: account, Fingerprint: string(c.fingerprint)}
}

// sharedParts returns the keys of the parts of the prompt that other calls may have too.
func (c *forwardedCall) sharedParts() []quarantine.Key {
	if c.partKeys == nil && c.route.GetPrompts() {
		ids := make([]string, len(c.call.PromptParts))
		for i, part := range c.call.PromptParts {
			ids[i] = part.ID
		}
		c.partKeys = quarantine.PromptParts(c.cacheScope.partsOwner, ids)
	}
	return c.partKeys
}

// quarantined returns why the call must not be sent to any backend server; empty if it may.
func (c *forwardedCall) quarantined() string {
	switch {
	case c.f.crashes.reporter.Empty():
	case c.f.crashes.reporter.Quarantined(c.quarantineKey()):
		return callReason
	case c.f.crashes.reporter.Quarantined(c.sharedParts()...):
		return partReason
	}
	return ""
}

// recordKnownCrashes records what is known of the parts of the prompt when an attempt is
// sent.
func (c *forwardedCall) recordKnownCrashes() {
	c.answeredAt, c.knownCrashes = time.Time{}, nil
	if !c.f.crashes.reporter.Empty() {
		c.knownCrashes = c.f.crashes.reporter.KnownCrashes(c.sharedParts())
	}
}

// checkCrash finds out whether the backend server of an attempt that broke off has ended,
// and counts that against the call and the parts of its prompt. It may have ended too if the
// router has broken the attempt off for an event that does not go on with the stream: that is found
// before the end of the connection.
func (c *forwardedCall) checkCrash(d *routing.Decision, err error) {
	if !connectionEnded(err) && !isUnusableEvent(err) || c.ctx.Err() != nil {
		return
	}
	key := c.quarantineKey()
	reports := []*wire.CrashReport{{Account: key.Account, Fingerprint: []byte(key.Fingerprint), RequestId: c.call.ID,
		Attempt: uint32(c.AttemptCount()), Backend: d.Backend.GetName(), EngineIncarnation: d.Backend.GetEngineIncarnation()}}
	if c.answeredAt.IsZero() || time.Since(c.answeredAt) < answerProofTime {
		reports = append(reports, c.f.crashes.reporter.PartReports(d.Backend.GetName(), d.Backend.GetEngineIncarnation(), c.sharedParts(), c.knownCrashes)...)
	}
	aliveAt := c.watched.heardAt()
	if aliveAt.Before(c.attemptedAt) && c.watched.isNewConn() {
		aliveAt = c.attemptedAt // it was opened since
	}
	ended, held := c.f.backendEnded(c.ctx, d.Backend.GetAddress(), endSettleTime)
	if held && time.Since(aliveAt) < minRestartTime {
		c.f.runs.survived(d.Backend, aliveAt)
	}
	c.f.proveByIdle(d.Backend)
	c.f.compareStarts() // streams that have begun meanwhile
	if !ended {
		c.f.crashes.addBrokenOff(time.Now(), d.Backend.GetAddress(), reports)
		return
	}
	c.f.countCrash(reports)
}

// countCrash logs the crash of reports and returns once it is counted, but after at most
// crashCountWait. The first report is that of the call, the others are those of the parts of
// its prompt.
func (f *Forwarder) countCrash(reports []*wire.CrashReport) {
	call, parts := reports[0], make([]string, len(reports)-1)
	for i, report := range reports[1:] {
		parts[i] = hex.EncodeToString(report.GetFingerprint())
	}
	crashes.Add("ended", 1)
	event.BackendEndedUnderCall(event.Crash{Request: call.GetRequestId(), Account: call.GetAccount(), Backend: call.GetBackend(),
		Incarnation: call.GetEngineIncarnation(), Fingerprint: hex.EncodeToString(call.GetFingerprint())}, parts)
	f.crashes.reporter.Report(crashCountWait, reports...)
}

// connectionEnded reports whether an error says that the peer closed or reset a connection
// before its response was complete.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// isNewConn reports whether the attempt is the first call on its connection.
func (a *watchedAttempt) isNewConn() bool {
	c := a.conn.Load()
	return c != nil && c.lastUsed.IsZero()
}

// backendEnded reports whether nothing listens at the address of a backend server any more.
// One that broke off a response or reset a connection still listens. The connection is kept
// for reuse, unless it breaks within the time settle: a process that ends may close its
// connections before its listener. held is set if a connection was kept.
func (f *Forwarder) backendEnded(ctx context.Context, address string, settle time.Duration) (ended, held bool) {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout+maxEndChecks*settle)
	defer cancel()
	for range maxEndChecks {
		conn, err := f.connPool.dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), false
		}
		if conn.staysOpen(settle) {
			f.connPool.put(conn, idleTimeout)
			return false, true
		}
		_ = conn.Close() // it is broken already
	}
	return false, false
}

// quarantineError returns the error of a call that is refused for the given reason.
func quarantineError(outcome fault.Outcome, reason string) *fault.Error {
	return fault.New(fault.Quarantined, outcome, "this call is refused: %s", reason).WithRetryAfter(quarantineRetryAfter)
}
