// Package once implements the replicated table of at-most-once calls: calls that
// are not idempotent. Its records ensure that each of them runs at most once.
package once

import (
	"bytes"
	"crypto/sha256"

	"parsleypulley/internal/wire"
)

// Key identifies an at-most-once call: an idempotency key of a client account.
type Key struct {
	Account string
	Key     string
}

// KeyOf returns the key of a record.
func KeyOf(r *wire.OnceRecord) Key {
	return Key{Account: r.GetId().GetAccount(), Key: r.GetId().GetKey()}
}

// Table is the replicated table of records. It is deterministic and never modifies
// a record that it has returned.
//
// Callers pass in the current time in milliseconds. It comes from the replicated
// clock, which never goes back.
//
// A record is CLAIMED, and does not expire, from its claim until Finish records the
// outcome of the call. DONE and NOT_RUN never change, but a NOT_RUN record may be
// replaced by a new claim with a new index. UNKNOWN never becomes NOT_RUN. It may
// become DONE if the same claim turns out to have run: its caller was only told that
// the call may have run, and resends then get the recorded response.
type Table struct {
	limits  Limits
	records map[Key]*wire.OnceRecord
	usage   usage
	// expiry holds the records that are not CLAIMED, by the time when they
	// expire.
	expiry expiryQueue
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, records: map[Key]*wire.OnceRecord{}, usage: newUsage(limits)}
}

// Claim applies a claim that was committed at index in the replicated log.
func (t *Table) Claim(index uint64, nowMS int64, claim *wire.OnceClaim) *wire.OnceResult {
	if !validClaim(claim) {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_REFUSED}
	}
	key := Key{Account: claim.GetAccount(), Key: claim.GetKey()}
	old := t.records[key]
	if old != nil && t.expired(nowMS, old) {
		t.drop(old)
		old = nil
	}
	if old == nil && !t.usage.admits(key.Account) {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_FULL}
	}
	if old != nil {
		if result := resultForExisting(old, claim); result != nil {
			return result
		}
		t.drop(old)
	}
	retention := t.limits.retentionMS(claim.GetRetentionS())
	record := &wire.OnceRecord{
		State:            wire.OnceRecord_STATE_CLAIMED,
		Id:               &wire.ClaimID{Account: key.Account, Key: key.Key, Index: index},
		RequestSha256:    claim.GetRequestSha256(),
		Backend:          claim.GetBackend(),
		AgentIncarnation: claim.GetAgentIncarnation(),
		CreatedMs:        claim.GetNowMs(),
		ExpiresMs:        nowMS + retention,
		RetentionMs:      retention,
		Router:           claim.GetRouter(),
		Proposal:         claim.GetProposal(),
	}
	t.put(record)
	return &wire.OnceResult{Status: wire.OnceResult_STATUS_GRANTED, Record: record}
}

// resultForExisting returns the result of a claim on a key that already has a
// record, or nil if the key may be claimed again.
func resultForExisting(old *wire.OnceRecord, claim *wire.OnceClaim) *wire.OnceResult {
	if !bytes.Equal(old.GetRequestSha256(), claim.GetRequestSha256()) {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_MISMATCH}
	}
	// The proposal that made the record may be committed a second time after its
	// reply was lost. The second copy must not make another claim.
	sameProposal := claim.GetProposal() != "" && claim.GetProposal() == old.GetProposal()
	switch {
	case sameProposal && old.GetState() == wire.OnceRecord_STATE_CLAIMED:
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_GRANTED, Record: old}
	case !sameProposal && old.GetState() == wire.OnceRecord_STATE_NOT_RUN:
		return nil
	}
	return &wire.OnceResult{Status: wire.OnceResult_STATUS_EXISTS, Record: old}
}

// Finish records the outcome of a claim.
func (t *Table) Finish(nowMS int64, finish *wire.OnceFinish) *wire.OnceResult {
	key := Key{Account: finish.GetId().GetAccount(), Key: finish.GetId().GetKey()}
	old := t.records[key]
	if old == nil || old.GetId().GetIndex() != finish.GetId().GetIndex() {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_STALE, Record: old}
	}
	if old.GetState() == finish.GetState() {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_RECORDED, Record: old}
	}
	if !validTransition(old.GetState(), finish.GetState()) {
		return &wire.OnceResult{Status: wire.OnceResult_STATUS_STALE, Record: old}
	}
	record := copyRecord(old)
	record.State = finish.GetState()
	if record.State == wire.OnceRecord_STATE_DONE {
		record.Answer = t.limits.limitAnswerSize(finish.GetAnswer())
	}
	if old.GetState() == wire.OnceRecord_STATE_CLAIMED {
		record.ExpiresMs = max(old.GetExpiresMs(), nowMS+old.GetRetentionMs())
	}
	t.drop(old)
	t.put(record)
	return &wire.OnceResult{Status: wire.OnceResult_STATUS_RECORDED, Record: record}
}

// validTransition reports whether a record may change between the given states.
func validTransition(from, to wire.OnceRecord_State) bool {
	switch from {
	case wire.OnceRecord_STATE_CLAIMED:
		return to == wire.OnceRecord_STATE_DONE ||
			to == wire.OnceRecord_STATE_NOT_RUN ||
			to == wire.OnceRecord_STATE_UNKNOWN
	case wire.OnceRecord_STATE_UNKNOWN:
		return to == wire.OnceRecord_STATE_DONE
	}
	return false
}

// Lookup returns the record of key, or nil if there is none or it has expired.
func (t *Table) Lookup(nowMS int64, key Key) *wire.OnceRecord {
	record := t.records[key]
	if record == nil || t.expired(nowMS, record) {
		return nil
	}
	return record
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

func (t *Table) put(record *wire.OnceRecord) {
	t.records[KeyOf(record)] = record
	t.usage.add(record)
	t.expiry.add(record)
	if len(t.expiry) > 2*len(t.records)+minExpirySlack {
		t.rebuildExpiryQueue()
	}
}

func (t *Table) drop(record *wire.OnceRecord) {
	delete(t.records, KeyOf(record))
	t.usage.remove(record)
}

func validClaim(claim *wire.OnceClaim) bool {
	return claim.GetAccount() != "" &&
		claim.GetKey() != "" && len(claim.GetKey()) <= MaxKeyBytes &&
		len(claim.GetRequestSha256()) == sha256.Size &&
		claim.GetBackend() != "" && claim.GetAgentIncarnation() != 0 &&
		len(claim.GetProposal()) <= MaxKeyBytes
}

func copyRecord(r *wire.OnceRecord) *wire.OnceRecord {
	return &wire.OnceRecord{
		State:            r.GetState(),
		Id:               r.GetId(),
		RequestSha256:    r.GetRequestSha256(),
		Backend:          r.GetBackend(),
		AgentIncarnation: r.GetAgentIncarnation(),
		Answer:           r.GetAnswer(),
		CreatedMs:        r.GetCreatedMs(),
		ExpiresMs:        r.GetExpiresMs(),
		Router:           r.GetRouter(),
		Proposal:         r.GetProposal(),
		RetentionMs:      r.GetRetentionMs(),
	}
}
