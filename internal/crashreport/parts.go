package crashreport

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"parsleypulley/internal/event"
	"parsleypulley/internal/quarantine"
	"parsleypulley/internal/view"
	"parsleypulley/internal/wire"
)

const (
	// statementSpread is the time over which routers spread what they tell about parts of
	// prompts that were served. All of them may know the same: who would tell it later need
	// not, once the view has it.
	statementSpread = 100 * time.Millisecond
	// maxStatements limits the parts told about at a time.
	maxStatements = 256
	// maxServedParts limits the parts remembered as served, twice over.
	maxServedParts = 4096
)

// PartReports returns the reports of a crash against the parts of a prompt, the first part
// first. known holds their KnownCrashes from when the attempt was sent; it may be nil.
func (r *Reporter) PartReports(backend string, incarnation uint64, parts []quarantine.Key, known []uint32) []*wire.CrashReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := make([]*wire.CrashReport, len(parts))
	for depth, key := range parts {
		reports[depth] = &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Backend: backend, EngineIncarnation: incarnation,
			Depth: uint32(depth), ServedBefore: r.served.has(key)}
		if depth < len(known) {
			reports[depth].KnownCrashes = known[depth]
		}
	}
	return reports
}

// Served records that a request with parts of prompts was served, and clears those that are
// suspected.
func (r *Reporter) Served(parts []quarantine.Key) {
	s := r.views.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range parts {
		r.served.add(key)
		if s.QuarantineEntry(key) != nil {
			r.state(key, &wire.CrashReport{Account: key.Account, Fingerprint: []byte(key.Fingerprint), Cleared: true})
		}
	}
}

// ApplyView tells the control replicas which of the suspected parts were served here before,
// and logs what is now quarantined. It must be called with each new view. It reports whether
// a quarantine of a part is new, which becomes effective after PartConfirmTime.
func (r *Reporter) ApplyView(s *view.Snapshot) (newPart bool) {
	r.Expire(time.Now(), s.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	inForce := map[quarantine.Key]time.Time{}
	for _, entry := range s.Quarantine() {
		key := quarantine.KeyOf(entry)
		if !entry.GetSuspect() {
			since, known := r.inForce[key]
			if !known {
				since = time.Now()
				newPart = newPart || quarantine.IsPart(entry.GetFingerprint())
				event.QuarantineInForce(key.Account, hex.EncodeToString(entry.GetFingerprint()), entry.GetCrashes(), s.Version)
			}
			inForce[key] = since
		}
		if quarantine.IsPart(entry.GetFingerprint()) && !entry.GetServedBefore() && r.served.has(key) && r.statements[key] == nil {
			r.state(key, &wire.CrashReport{Account: key.Account, Fingerprint: entry.GetFingerprint(), ServedBefore: true})
		}
	}
	for key := range r.inForce {
		if _, still := inForce[key]; !still {
			event.QuarantineEnded(key.Account, hex.EncodeToString([]byte(key.Fingerprint)), s.Version)
		}
	}
	r.inForce = inForce
	return newPart
}

// state has a statement about a part told to the control replicas. r.mu must be held.
func (r *Reporter) state(key quarantine.Key, statement *wire.CrashReport) {
	if len(r.statements) >= maxStatements {
		return
	}
	if len(r.statements) == 0 {
		time.AfterFunc(rand.N(statementSpread), r.proposeStatements)
	}
	r.statements[key] = statement
}

// proposeStatements tells the control replicas what the view does not contain yet.
func (r *Reporter) proposeStatements() {
	s := r.views.Load()
	r.mu.Lock()
	var reports []*wire.CrashReport
	for key, statement := range r.statements {
		if entry := s.QuarantineEntry(key); entry != nil && (statement.GetCleared() || !entry.GetServedBefore()) {
			reports = append(reports, statement)
		}
	}
	clear(r.statements)
	r.mu.Unlock()
	if len(reports) == 0 {
		return
	}
	if _, _, err := r.commit(reports); err != nil {
		event.CrashReportFailed("", err)
	}
}

// servedParts remembers parts of prompts that were served. It forgets the older half when
// it is full.
type servedParts struct {
	newer, older map[quarantine.Key]struct{}
}

func (p *servedParts) add(key quarantine.Key) {
	if p.newer == nil || len(p.newer) >= maxServedParts {
		p.newer, p.older = map[quarantine.Key]struct{}{}, p.newer
	}
	p.newer[key] = struct{}{}
}

func (p *servedParts) has(key quarantine.Key) bool {
	_, newer := p.newer[key]
	_, older := p.older[key]
	return newer || older
}
