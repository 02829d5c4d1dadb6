package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"expvar"
	"io"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"parsleypulley/internal/crashreport"
	"parsleypulley/internal/event"
	"parsleypulley/internal/fault"
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
	// crashCountWait limits how long a call waits until its crash is counted. It covers a
	// commit of the control replicas while they have a leader.
	crashCountWait = 100 * time.Millisecond
	// crashReportTimeout limits the attempts to report a crash. It covers an election.
	crashReportTimeout = 10 * time.Second
	// replacementTimeout is how long after an attempt broke off another backend server at
	// the same address is taken for proof that the first one ended. It covers the time until
	// the other one has registered itself. maxBrokenOff limits the attempts remembered.
	replacementTimeout = 5 * time.Second
	maxBrokenOff       = 256
	// quarantineRetryAfter is the Retry-After time of quarantined calls: it is of no use to
	// come back soon.
	quarantineRetryAfter = time.Minute
)

// crashes counts the ends of backend servers under calls of this router, and the calls
// refused since they are quarantined.
var crashes = expvar.NewMap("forward_crashes")

// crashGuard finds out which calls end the backend servers that run them, and refuses
// these. It is safe for concurrent use.
type crashGuard struct {
	reporter *crashreport.Reporter
	mu       sync.Mutex
	suspects suspects
	// brokenOff holds the attempts that broke off while something listened at the address
	// of their backend server, the oldest first.
	brokenOff []brokenOff
}

// brokenOff is an attempt whose backend server may have ended.
type brokenOff struct {
	at      time.Time
	address string
	report  *wire.CrashReport
	parts   []string
}

func newCrashGuard(reporter *crashreport.Reporter) *crashGuard {
	return &crashGuard{reporter: reporter, suspects: suspects{}}
}

// idle reports whether no call is suspected or quarantined, so that calls need no
// fingerprint.
func (g *crashGuard) idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) == 0 && g.reporter.Empty()
}

// recordCrash counts a crash against a call and returns once it is counted, but after at
// most crashCountWait.
func (g *crashGuard) recordCrash(now time.Time, report *wire.CrashReport) {
	key := quarantine.Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())}
	g.mu.Lock()
	own := g.suspects.add(now, key, report.GetBackend()+"/"+strconv.FormatUint(report.GetEngineIncarnation(), 10))
	g.mu.Unlock()
	if own >= quarantine.SharedCrashLimit {
		g.reporter.Quarantine(key) // also if control can't be reached
	}
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		g.reporter.Report(crashReportTimeout, report)
	}()
	timer := time.NewTimer(crashCountWait)
	defer timer.Stop()
	select {
	case <-counted:
	case <-timer.C:
	}
}

// addBrokenOff remembers an attempt that broke off, until the view tells whether another
// backend server has taken the place of its own.
func (g *crashGuard) addBrokenOff(now time.Time, address string, report *wire.CrashReport, parts []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.brokenOff) >= maxBrokenOff {
		g.brokenOff = slices.Delete(g.brokenOff, 0, 1)
	}
	g.brokenOff = append(g.brokenOff, brokenOff{now, address, report, parts})
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
		if s.Member(b.report.GetBackend()) == nil && addresses[b.address] {
			found = append(found, b)
			return true
		}
		return now.Sub(b.at) >= replacementTimeout
	})
	return found
}

// completed clears a suspected call, which has run to its end.
func (g *crashGuard) completed(key quarantine.Key, requestID string) {
	g.mu.Lock()
	known := g.suspects.remove(key)
	g.mu.Unlock()
	if known {
		go g.reporter.Clear(crashReportTimeout, key, requestID)
	}
}

// expire forgets suspects whose counts have expired at the control replicas too.
func (g *crashGuard) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.expire(now)
}

// suspects holds the calls under which this router has seen backend servers end and that
// have not completed since.
type suspects map[quarantine.Key]*suspect

type suspect struct {
	// crashIDs identifies the runs of backend servers that have ended.
	crashIDs map[string]bool
	last     time.Time
}

// maxSuspects limits the number of suspects; further ones are counted by the control
// replicas only.
const maxSuspects = 1024

// add records that a run of a backend server ended, and returns how many have ended under
// the call.
func (s suspects) add(now time.Time, key quarantine.Key, crashID string) int {
	entry := s[key]
	if entry == nil {
		if len(s) >= maxSuspects {
			return 0
		}
		entry = &suspect{crashIDs: map[string]bool{}}
		s[key] = entry
	}
	entry.last = now
	entry.crashIDs[crashID] = true
	return len(entry.crashIDs)
}

// remove removes a suspect and reports whether it was one.
func (s suspects) remove(key quarantine.Key) bool {
	_, known := s[key]
	delete(s, key)
	return known
}

// expire removes the suspects that have seen no crash for as long as the control replicas
// keep a count.
func (s suspects) expire(now time.Time) {
	ttl := quarantine.DefaultLimits().CrashTTL
	for key, entry := range s {
		if now.Sub(entry.last) >= ttl {
			delete(s, key)
		}
	}
}

// quarantineKey returns the key by which the call is recognised when it comes again: its
// account, method, target and body.
func (c *forwardedCall) quarantineKey() quarantine.Key {
	if c.fingerprint == nil {
		target := c.r.Method + " " + c.r.Host + c.r.URL.RequestURI()
		c.fingerprint = quarantine.SharedFingerprint(prefix.Fingerprint(c.account.GetName(), target, c.body))
	}
	account := c.account.GetName()
	if account == "" {
		account = quarantine.PublicAccount
	}
	return quarantine.Key{Account: account, Fingerprint: string(c.fingerprint)}
}

// maxSuspectParts limits the parts of one prompt that are suspected when a backend server
// ends. The parts behind them are not.
const maxSuspectParts = 32

// sharedParts returns the fingerprints of the parts of the prompt that other calls may have
// too: all but the last.
func (c *forwardedCall) sharedParts() [][]byte {
	if !c.route.GetPrompts() {
		return nil
	}
	parts := c.call.PromptParts
	var fingerprints [][]byte
	for _, part := range parts[:min(max(len(parts)-1, 0), maxSuspectParts)] {
		fingerprints = append(fingerprints, quarantine.PartFingerprint(c.accountSalt, part.ID))
	}
	return fingerprints
}

// quarantined reports whether the call must not be sent to any backend server.
func (c *forwardedCall) quarantined() bool {
	return !c.f.crashes.idle() && c.f.crashes.reporter.Quarantined(c.quarantineKey())
}

// checkCrash finds out whether the backend server of an attempt that broke off has ended,
// and counts that against the call.
func (c *forwardedCall) checkCrash(d *routing.Decision, err error) {
	if !connectionEnded(err) || c.ctx.Err() != nil {
		return
	}
	key := c.quarantineKey()
	report := &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), RequestId: c.call.ID,
		Attempt: uint32(c.AttemptCount()), Backend: d.Backend.GetName(), EngineIncarnation: d.Backend.GetEngineIncarnation()}
	if !c.f.backendEnded(c.ctx, d.Backend.GetAddress(), endSettleTime) {
		c.f.crashes.addBrokenOff(time.Now(), d.Backend.GetAddress(), report, hexStrings(c.sharedParts()))
		return
	}
	c.f.countCrash(report, hexStrings(c.sharedParts()))
}

func hexStrings(values [][]byte) []string {
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = hex.EncodeToString(value)
	}
	return texts
}

// countCrash logs and counts the crash of a report, as recordCrash does.
func (f *Forwarder) countCrash(report *wire.CrashReport, parts []string) {
	crashes.Add("ended", 1)
	event.BackendEndedUnderCall(event.Crash{Request: report.GetRequestId(), Account: report.GetAccount(), Backend: report.GetBackend(),
		Incarnation: report.GetEngineIncarnation(), Fingerprint: hex.EncodeToString(report.GetFingerprint())}, parts)
	f.crashes.recordCrash(time.Now(), report)
}

// connectionEnded reports whether an error says that the peer closed or reset a connection
// before its response was complete.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// backendEnded reports whether nothing listens at the address of a backend server any more.
// One that broke off a response or reset a connection still listens. The connection is kept
// for reuse, unless it breaks within the time settle: a process that ends may close its
// connections before its listener.
func (f *Forwarder) backendEnded(ctx context.Context, address string, settle time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout+maxEndChecks*settle)
	defer cancel()
	for range maxEndChecks {
		conn, err := f.connPool.dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if conn.staysOpen(settle) {
			f.connPool.put(conn, idleTimeout)
			return false
		}
		_ = conn.Close() // it is broken already
	}
	return false
}

// quarantineError returns the error of a call that is refused since it ended the backend
// servers that ran it.
func quarantineError(outcome fault.Outcome) *fault.Error {
	return fault.New(fault.Quarantined, outcome, "this call is refused: the backend servers that ran it ended").WithRetryAfter(quarantineRetryAfter)
}
