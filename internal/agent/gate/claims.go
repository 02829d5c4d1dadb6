package gate

import (
	"container/list"
	"time"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

// ClaimKey identifies a claim. The same idempotency key can be claimed again, at a
// higher log index, if it is proved that the earlier claim has not run.
type ClaimKey struct {
	Account string
	// Key is the idempotency key of the call.
	Key string
	// Index is the index at which the claim was committed in the log of the control
	// replicas.
	Index uint64
}

func claimKey(id *wire.ClaimID) ClaimKey {
	return ClaimKey{Account: id.Account, Key: id.Key, Index: id.Index}
}

// claimRecord is the state of one claim.
type claimRecord struct {
	key    ClaimKey
	fate   wire.ClaimFate_Fate
	answer *wire.StoredAnswer
	// settled is the time at which the fate became final.
	settled time.Time
	// element is the list element in claims.settled.
	element *list.Element
	// answerElement is the list element in claims.answers.
	answerElement *list.Element
}

// claims stores the claims that have run, are running or will never run.
//
// A claim must not run, or run again, after its record was removed. Each claim
// carries the log index at which it was committed. Removing a record raises
// indexFloor to the record's index, and a claim without a record at or below
// indexFloor is refused. A record is removed only if its fate has been final for
// Limits.ClaimRetention, or for Limits.MinClaimRetention if the table is full or
// the client account of a new claim is at its limit. If a dispatch or query is
// delayed for longer than that, the fate of its claim is unknown.
type claims struct {
	limits  Limits
	records map[ClaimKey]*claimRecord
	// perAccount is the number of records of each client account.
	perAccount map[string]int
	// settled holds the records with a final fate, in the order of settling.
	settled *list.List
	// answers holds the records with a stored response, oldest first.
	answers *list.List
	// answerBytes is the size of the stored response bodies.
	answerBytes int
	// indexFloor is the highest log index of the removed records.
	indexFloor uint64
}

func newClaims(limits Limits) claims {
	return claims{
		limits:     limits,
		records:    map[ClaimKey]*claimRecord{},
		perAccount: map[string]int{},
		settled:    list.New(),
		answers:    list.New(),
	}
}

// checkClaim returns an error if the claim of d is invalid, was granted for another
// agent incarnation or is not new.
//
// A router sends the dispatch of a claim only once, and sends a ClaimQuery if the
// link breaks. A claim for another agent incarnation has therefore not run and
// will not run.
func (g *Gate) checkClaim(d *wire.Dispatch) *fault.Error {
	id := d.Claim
	if id.Index == 0 || id.Key == "" || id.Account != d.Account {
		return fault.New(fault.BadRequest, fault.NotRun, "claim without index or key, or of another client account")
	}
	if d.AgentIncarnation != g.agentIncarnation {
		return fault.New(fault.StaleIncarnation, fault.NotRun, "the claim was granted for agent life %d, not %d", d.AgentIncarnation, g.agentIncarnation)
	}
	r := g.claims.records[claimKey(id)]
	switch {
	case r == nil && id.Index <= g.claims.indexFloor:
		return fault.New(fault.ClaimRefused, fault.Unknown, "claim %d is too old to be known", id.Index)
	case r == nil:
		return nil
	case r.fate == wire.ClaimFate_FATE_NEVER_RUN:
		return fault.New(fault.ClaimRefused, fault.NotRun, "claim %d was told not to have run", id.Index)
	case r.fate == wire.ClaimFate_FATE_DONE:
		return fault.New(fault.ClaimRefused, fault.Ran, "claim %d has run", id.Index)
	default:
		return fault.New(fault.ClaimRefused, fault.Unknown, "claim %d is running or ended without an answer", id.Index)
	}
}

// QueryClaim returns the fate of a claim. If the gate has not seen the claim,
// QueryClaim records that it must never run, so that a later dispatch is refused.
func (g *Gate) QueryClaim(now time.Time, q *wire.ClaimQuery) (*wire.ClaimFate, *fault.Error) {
	id := q.Claim
	if id == nil || id.Index == 0 || id.Key == "" || id.Account != q.Account {
		return nil, fault.New(fault.BadRequest, fault.Unknown, "query without claim, or of another client account's claim")
	}
	if q.AgentIncarnation != g.agentIncarnation {
		return &wire.ClaimFate{Fate: wire.ClaimFate_FATE_UNKNOWN}, nil
	}
	r := g.claims.records[claimKey(id)]
	if r == nil && id.Index <= g.claims.indexFloor {
		return &wire.ClaimFate{Fate: wire.ClaimFate_FATE_UNKNOWN}, nil
	}
	if r != nil {
		return r.reportedFate(), nil
	}
	if err := g.claims.addTombstone(now, claimKey(id)); err != nil {
		return nil, err
	}
	return &wire.ClaimFate{Fate: wire.ClaimFate_FATE_NEVER_RUN}, nil
}

// reportedFate returns the fate of r for a query. If the response was dropped to
// save space, the claim has run but the fate is reported as unknown.
func (r *claimRecord) reportedFate() *wire.ClaimFate {
	if r.fate == wire.ClaimFate_FATE_DONE && r.answer == nil {
		return &wire.ClaimFate{Fate: wire.ClaimFate_FATE_UNKNOWN}
	}
	return &wire.ClaimFate{Fate: r.fate, Answer: r.answer}
}

// addRunning adds the record of a running claim. Its error has outcome NotRun,
// because the claim is not run without a record.
func (c *claims) addRunning(now time.Time, key ClaimKey) *fault.Error {
	r, err := c.add(now, key, 1)
	if err != nil {
		err.Outcome = fault.NotRun
		return err
	}
	r.fate = wire.ClaimFate_FATE_RUNNING
	return nil
}

// tombstoneFactor multiplies the limits when a tombstone is added. The table can
// thus still record that a claim must not run when it accepts no more claims to run.
const tombstoneFactor = 2

// addTombstone records that a claim must never run.
func (c *claims) addTombstone(now time.Time, key ClaimKey) *fault.Error {
	r, err := c.add(now, key, tombstoneFactor)
	if err != nil {
		return err
	}
	c.settle(now, r, wire.ClaimFate_FATE_NEVER_RUN)
	return nil
}

// add adds a record. It first removes old records to make room, and returns an
// error with outcome Unknown if the table would exceed factor times the limits.
func (c *claims) add(now time.Time, key ClaimKey, factor int) (*claimRecord, *fault.Error) {
	full := func() bool { return len(c.records) >= factor*c.limits.MaxClaims }
	accountFull := func() bool { return c.perAccount[key.Account] >= factor*c.limits.MaxAccountClaims }
	c.expire(now, c.limits.ClaimRetention, func() bool { return true })
	c.expire(now, c.limits.MinClaimRetention, func() bool { return full() || accountFull() })
	if full() {
		return nil, fault.New(fault.BackendRefused, fault.Unknown, "%d claims are remembered", len(c.records))
	}
	if accountFull() {
		return nil, fault.New(fault.AccountLimit, fault.Unknown, "%d claims of the client account are remembered", c.perAccount[key.Account])
	}
	r := &claimRecord{key: key}
	c.records[key] = r
	c.perAccount[key.Account]++
	return r, nil
}

// expire removes records whose fate has been final for at least age, oldest first,
// for as long as needed returns true.
func (c *claims) expire(now time.Time, age time.Duration, needed func() bool) {
	for needed() {
		front := c.settled.Front()
		if front == nil {
			return
		}
		r := front.Value.(*claimRecord)
		if now.Sub(r.settled) < age {
			return
		}
		c.remove(r)
	}
}

func (c *claims) remove(r *claimRecord) {
	c.settled.Remove(r.element)
	c.dropAnswer(r)
	delete(c.records, r.key)
	if c.perAccount[r.key.Account]--; c.perAccount[r.key.Account] == 0 {
		delete(c.perAccount, r.key.Account)
	}
	c.indexFloor = max(c.indexFloor, r.key.Index)
}

// settle sets the final fate of a claim.
func (c *claims) settle(now time.Time, r *claimRecord, fate wire.ClaimFate_Fate) {
	r.fate = fate
	r.settled = now
	r.element = c.settled.PushBack(r)
}

// finish records the result of a running claim.
func (c *claims) finish(now time.Time, key ClaimKey, result Result) {
	r := c.records[key]
	if r == nil || r.fate != wire.ClaimFate_FATE_RUNNING {
		return
	}
	switch {
	case result.NotRun:
		c.settle(now, r, wire.ClaimFate_FATE_NEVER_RUN)
	case result.Answer == nil:
		c.settle(now, r, wire.ClaimFate_FATE_UNKNOWN)
	default:
		c.settle(now, r, wire.ClaimFate_FATE_DONE)
		c.keepAnswer(r, result.Answer)
	}
}

// keepAnswer stores the response of a claim. It drops the oldest responses that
// exceed the size limit.
func (c *claims) keepAnswer(r *claimRecord, answer *wire.StoredAnswer) {
	r.answer = answer
	r.answerElement = c.answers.PushBack(r)
	c.answerBytes += len(answer.Body)
	for c.answerBytes > c.limits.MaxAnswerBytes {
		c.dropAnswer(c.answers.Front().Value.(*claimRecord))
	}
}

func (c *claims) dropAnswer(r *claimRecord) {
	if r.answer == nil {
		return
	}
	c.answerBytes -= len(r.answer.Body)
	r.answer = nil
	c.answers.Remove(r.answerElement)
}
