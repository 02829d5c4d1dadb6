// Package crashreport connects routers to the replicated counts of engine crashes: it
// reports the crashes that a router has seen, tells which requests and parts of prompts are
// quarantined, and clears those that were served.
package crashreport

import (
	"context"
	"strings"
	"sync"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// recentTTL is how long a router keeps what its own report has led to, if it does not
	// see earlier that the view contains it.
	recentTTL = 10 * time.Second
	// batchDelay is the time in which the reports of calls that an engine took with it when
	// it crashed are gathered into one command, and maxBatch limits their number.
	batchDelay = 5 * time.Millisecond
	maxBatch   = 512
	// maxRequestIDBytes is the part of a call's ID that a report has.
	maxRequestIDBytes = 256
	// proposeTimeout limits the attempts to commit reports. It covers an election.
	proposeTimeout = 10 * time.Second
	// PartConfirmTime is how long the views must have had the quarantine of a part before it
	// is effective: reports and answers that were on their way may end it at once.
	PartConfirmTime = 200 * time.Millisecond
)

// Proposer commits a command at the control replicas.
type Proposer interface {
	Propose(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)
}

// Reporter reports crashes. It is safe for concurrent use.
type Reporter struct {
	control Proposer
	views   *view.Store

	mu sync.Mutex
	// suspects counts the crashes that this router has seen itself.
	suspects suspects
	// recent holds the results of own reports that the view may not contain yet.
	recent map[quarantine.Key]recentResult
	// batch holds the reports that wait to be proposed; nil if there are none.
	batch *batch
	// served holds the parts of prompts that were served here, and statements what is still
	// to be told about them.
	served     servedParts
	statements map[quarantine.Key]*wire.CrashReport
	// inForce holds the quarantined keys of the view that was applied last, with the time
	// since which the views have them.
	inForce map[quarantine.Key]time.Time
}

// recentResult is the result of a report.
type recentResult struct {
	crashes     uint32
	quarantined bool
	// viewVersion is the first version of the view that contains it; 0 if it is unknown.
	viewVersion uint64
	expires     time.Time
}

// New returns a Reporter that proposes to control and knows the quarantine of views.
func New(control Proposer, views *view.Store) *Reporter {
	return &Reporter{control: control, views: views, suspects: suspects{}, recent: map[quarantine.Key]recentResult{}, statements: map[quarantine.Key]*wire.CrashReport{},
		inForce: map[quarantine.Key]time.Time{}}
}

// Empty reports whether no request and no part of prompts is suspected or quarantined, so
// that requests need no fingerprint.
func (r *Reporter) Empty() bool {
	if len(r.views.Load().Quarantine()) > 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.recent) == 0 && len(r.suspects) == 0
}

// Quarantined reports whether the request or the part of prompts with one of the keys is
// quarantined. It must be asked before each attempt, since engines may also crash under the
// same request through other routers.
func (r *Reporter) Quarantined(keys ...quarantine.Key) bool {
	s := r.views.Load()
	for _, key := range keys {
		if quarantine.IsPart([]byte(key.Fingerprint)) {
			if s.Quarantined(key.Account, []byte(key.Fingerprint)) && r.isConfirmed(key) {
				return true
			}
			continue
		}
		recent, ok := r.recentResult(s, key)
		if ok && recent.quarantined || !ok && s.Quarantined(key.Account, []byte(key.Fingerprint)) {
			return true
		}
	}
	return false
}

// isConfirmed reports whether the views have had the quarantine of a part for long enough.
func (r *Reporter) isConfirmed(key quarantine.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	since, known := r.inForce[key]
	return known && time.Since(since) >= PartConfirmTime
}

// KnownCrashes returns the numbers of crashes that this router knows to be counted against
// parts of prompts.
func (r *Reporter) KnownCrashes(parts []quarantine.Key) []uint32 {
	s := r.views.Load()
	known := make([]uint32, len(parts))
	for i, key := range parts {
		if recent, ok := r.recentResult(s, key); ok {
			known[i] = recent.crashes
		} else {
			known[i] = s.QuarantineEntry(key).GetCrashes()
		}
	}
	return known
}

// recentResult returns the result of an own report, unless the view contains it.
func (r *Reporter) recentResult(s *view.Snapshot, key quarantine.Key) (recentResult, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent, ok := r.recent[key]
	return recent, ok && (recent.viewVersion == 0 || s.Version < recent.viewVersion)
}

func (r *Reporter) setRecent(key quarantine.Key, result recentResult) {
	result.expires = time.Now().Add(recentTTL)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent[key] = result
}

// Expire forgets the results that the view contains or that are old, and the crashes that
// the control replicas have forgotten too. version is that of the view.
func (r *Reporter) Expire(now time.Time, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.expire(now)
	for key, recent := range r.recent {
		if !now.Before(recent.expires) || recent.viewVersion != 0 && version >= recent.viewVersion {
			delete(r.recent, key)
		}
	}
}

// Report reports crashes to the control replicas and returns the result of the first report,
// or nil if it is not committed within timeout; the attempts to commit it go on. The results
// are effective at once. While the control replicas can't be told, the crashes that this
// router has seen itself count. Report does not depend on the call during which the engine
// crashed: the crash must be counted even if the caller disconnects.
func (r *Reporter) Report(timeout time.Duration, reports ...*wire.CrashReport) *wire.CrashResult {
	first := reports[0]
	b, index, own := r.join(reports)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var result *wire.CrashResult
	select {
	case <-b.done:
		result = b.results[index]
	case <-timer.C:
	}
	if result == nil && own >= quarantine.CrashLimitOf(first.GetFingerprint()) {
		r.setRecent(quarantine.Key{Account: first.GetAccount(), Fingerprint: string(first.GetFingerprint())}, recentResult{quarantined: true})
	}
	return result
}

// Completed clears a request that has run to its end, if this router suspects it.
func (r *Reporter) Completed(key quarantine.Key, requestID string) {
	r.mu.Lock()
	known := r.suspects.remove(key)
	r.mu.Unlock()
	if known {
		go r.Clear(proposeTimeout, key, requestID)
	}
}

// Clear resets the crash count of a request that has completed.
func (r *Reporter) Clear(timeout time.Duration, key quarantine.Key, requestID string) *wire.CrashResult {
	return r.Report(timeout, &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), RequestId: requestID, Cleared: true})
}

// batch is a number of reports that are proposed together.
type batch struct {
	reports []*wire.CrashReport
	// parts is the index of each part of prompts among reports.
	parts map[partCrash]int
	// results is valid once done is closed. It has a nil for each report that was not
	// committed.
	results []*wire.CrashResult
	done    chan struct{}
}

// partCrash identifies a crash counted against a part of prompts.
type partCrash struct {
	key         quarantine.Key
	backend     string
	incarnation uint64
}

// join adds reports to the batch that is gathered. It returns the batch, the index of the
// first report, and how many crashes this router has seen under its request.
func (r *Reporter) join(reports []*wire.CrashReport) (b *batch, first, own int) {
	for _, report := range reports {
		// Callers choose the ID, which is only logged. One that is not UTF-8 can't be marshalled, and
		// long ones make the command too large: either would fail the batch.
		id := report.GetRequestId()
		report.RequestId = strings.ToValidUTF8(id[:min(len(id), maxRequestIDBytes)], "?")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if report := reports[0]; report.GetBackend() != "" && !quarantine.IsPart(report.GetFingerprint()) {
		key := quarantine.Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())}
		own = r.suspects.add(time.Now(), key, quarantine.CrashID(report))
	}
	if b := r.batch; b != nil && len(b.reports)+len(reports) > maxBatch {
		r.batch = nil // its timer proposes it
	}
	if r.batch == nil {
		b := &batch{parts: map[partCrash]int{}, done: make(chan struct{})}
		r.batch = b
		time.AfterFunc(batchDelay, func() { r.propose(b) })
	}
	first = r.batch.add(reports[0])
	for _, report := range reports[1:] {
		r.batch.add(report)
	}
	return r.batch, first, own
}

// add adds a report and returns its index. Several calls may have had the same part of their
// prompts: what counts is the one that knew of most crashes when it was sent.
func (b *batch) add(report *wire.CrashReport) int {
	if report.GetBackend() != "" && quarantine.IsPart(report.GetFingerprint()) {
		id := partCrash{quarantine.Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())}, report.GetBackend(), report.GetEngineIncarnation()}
		if i, known := b.parts[id]; known {
			b.reports[i].KnownCrashes = max(b.reports[i].GetKnownCrashes(), report.GetKnownCrashes())
			return i
		}
		b.parts[id] = len(b.reports)
	}
	b.reports = append(b.reports, report)
	return len(b.reports) - 1
}

// propose commits a batch and takes over its results.
func (r *Reporter) propose(b *batch) {
	r.mu.Lock()
	if r.batch == b {
		r.batch = nil
	}
	r.mu.Unlock()
	defer close(b.done)
	b.results = make([]*wire.CrashResult, len(b.reports))
	results, viewVersion, err := r.commit(b.reports)
	if err != nil {
		event.CrashReportFailed(b.reports[0].GetRequestId(), err)
		return
	}
	copy(b.results, results)
	for i, result := range b.results {
		report := b.reports[i]
		if result.GetQuarantined() || quarantine.IsPart(report.GetFingerprint()) {
			r.setRecent(quarantine.Key{Account: report.GetAccount(), Fingerprint: string(report.GetFingerprint())},
				recentResult{crashes: result.GetCrashes(), quarantined: result.GetQuarantined(), viewVersion: viewVersion})
		}
	}
}

// commit proposes reports and returns their results, and the version of the view that has
// them.
func (r *Reporter) commit(reports []*wire.CrashReport) ([]*wire.CrashResult, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	now := time.Now().UnixMilli()
	for _, report := range reports {
		report.NowMs = now
	}
	command := &wire.Command{Body: &wire.Command_Crashes{Crashes: &wire.CrashReports{Reports: reports}}}
	if len(reports) == 1 {
		command.Body = &wire.Command_Crash{Crash: reports[0]}
	}
	result, err := r.control.Propose(ctx, command)
	if err != nil {
		return nil, 0, err
	}
	if len(reports) == 1 {
		return []*wire.CrashResult{result.GetCrash()}, result.GetViewVersion(), nil
	}
	return result.GetCrashes().GetResults(), result.GetViewVersion(), nil
}
