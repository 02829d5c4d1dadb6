package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/wire"
)

const (
	claimed = wire.OnceRecord_STATE_CLAIMED
	done    = wire.OnceRecord_STATE_DONE
	notRun  = wire.OnceRecord_STATE_NOT_RUN
	unknown = wire.OnceRecord_STATE_UNKNOWN
	none    = wire.OnceRecord_STATE_UNSPECIFIED

	granted  = wire.OnceResult_STATUS_GRANTED
	exists   = wire.OnceResult_STATUS_EXISTS
	mismatch = wire.OnceResult_STATUS_MISMATCH
	recorded = wire.OnceResult_STATUS_RECORDED
	stale    = wire.OnceResult_STATUS_STALE
	full     = wire.OnceResult_STATUS_FULL
	refused  = wire.OnceResult_STATUS_REFUSED
)

// digest returns a request digest that is different for each n.
func digest(n int) []byte {
	d := make([]byte, 32)
	d[0] = byte(n)
	return d
}

func claimOf(account, key, proposal string) *wire.OnceClaim {
	return &wire.OnceClaim{
		Account: account, Key: key, Proposal: proposal, RequestSha256: digest(1),
		Backend: "farmdesk-1", AgentIncarnation: 1, RetentionS: 60,
	}
}

func finishOf(account, key string, index uint64, state wire.OnceRecord_State) *wire.OnceFinish {
	return &wire.OnceFinish{
		Id:     &wire.ClaimID{Account: account, Key: key, Index: index},
		State:  state,
		Answer: &wire.StoredAnswer{Status: 201, Body: []byte(fmt.Sprint("answer of ", index))},
	}
}

// step applies one command for key "k" of account "a". Its index is its position in
// the sequence, starting at 1.
type step func(t *Table, index uint64) *wire.OnceResult

func claimStep(proposal string) step {
	return func(t *Table, index uint64) *wire.OnceResult { return t.Claim(index, 0, claimOf("a", "k", proposal)) }
}

func claimOtherRequestStep() step {
	return func(t *Table, index uint64) *wire.OnceResult {
		claim := claimOf("a", "k", "other")
		claim.RequestSha256 = digest(2)
		return t.Claim(index, 0, claim)
	}
}

// finishStep finishes the claim with index at.
func finishStep(at uint64, state wire.OnceRecord_State) step {
	return func(t *Table, _ uint64) *wire.OnceResult { return t.Finish(0, finishOf("a", "k", at, state)) }
}

// expireStep drops the records that have expired at nowMS.
func expireStep(nowMS int64) step {
	return func(t *Table, _ uint64) *wire.OnceResult {
		t.Expire(nowMS)
		return &wire.OnceResult{}
	}
}

func TestCommandSequences(t *testing.T) {
	for _, tt := range []struct {
		name   string
		steps  []step
		status wire.OnceResult_Status
		// state is the state of the record after the last step.
		state wire.OnceRecord_State
		// index is the claim index of the record after the last step.
		index uint64
	}{
		{"first claim", []step{claimStep("p")}, granted, claimed, 1},
		{"resend while the call may run", []step{claimStep("p"), claimStep("q")}, exists, claimed, 1},
		{"same proposal committed twice", []step{claimStep("p"), claimStep("p")}, granted, claimed, 1},
		{"another request with the same key", []step{claimStep("p"), claimOtherRequestStep()}, mismatch, claimed, 1},
		{"another request after not run", []step{claimStep("p"), finishStep(1, notRun), claimOtherRequestStep()}, mismatch, notRun, 1},
		{"done", []step{claimStep("p"), finishStep(1, done)}, recorded, done, 1},
		{"resend after done", []step{claimStep("p"), finishStep(1, done), claimStep("q")}, exists, done, 1},
		{"duplicate proposal committed after done", []step{claimStep("p"), finishStep(1, done), claimStep("p")}, exists, done, 1},
		{"done twice", []step{claimStep("p"), finishStep(1, done), finishStep(1, done)}, recorded, done, 1},
		{"not run after done", []step{claimStep("p"), finishStep(1, done), finishStep(1, notRun)}, stale, done, 1},
		{"unknown after done", []step{claimStep("p"), finishStep(1, done), finishStep(1, unknown)}, stale, done, 1},
		{"claim again after not run", []step{claimStep("p"), finishStep(1, notRun), claimStep("q")}, granted, claimed, 3},
		{"duplicate proposal committed after not run", []step{claimStep("p"), finishStep(1, notRun), claimStep("p")}, exists, notRun, 1},
		{"done after not run", []step{claimStep("p"), finishStep(1, notRun), finishStep(1, done)}, stale, notRun, 1},
		{"unknown after not run", []step{claimStep("p"), finishStep(1, notRun), finishStep(1, unknown)}, stale, notRun, 1},
		{"finish of an earlier claim", []step{claimStep("p"), finishStep(1, notRun), claimStep("q"), finishStep(1, done)}, stale, claimed, 3},
		{"resend after unknown", []step{claimStep("p"), finishStep(1, unknown), claimStep("q")}, exists, unknown, 1},
		{"not run after unknown", []step{claimStep("p"), finishStep(1, unknown), finishStep(1, notRun)}, stale, unknown, 1},
		{"done after unknown", []step{claimStep("p"), finishStep(1, unknown), finishStep(1, done)}, recorded, done, 1},
		{"unknown after a late done", []step{claimStep("p"), finishStep(1, unknown), finishStep(1, done), finishStep(1, unknown)}, stale, done, 1},
		{"finish without a claim", []step{finishStep(1, done)}, stale, none, 0},
		{"back to claimed", []step{claimStep("p"), finishStep(1, done), finishStep(1, claimed)}, stale, done, 1},
		{"kept within retention", []step{claimStep("p"), finishStep(1, done), expireStep(59_999)}, 0, done, 1},
		{"dropped after retention", []step{claimStep("p"), finishStep(1, done), expireStep(60_000)}, 0, none, 0},
		{"never dropped while the call may run", []step{claimStep("p"), expireStep(1 << 50)}, 0, claimed, 1},
		{"still claimed after any time", []step{claimStep("p"), expireStep(1 << 50), claimStep("q")}, exists, claimed, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(DefaultLimits())
			var result *wire.OnceResult
			for i, s := range tt.steps {
				result = s(table, uint64(i+1))
			}
			record := table.records[Key{"a", "k"}]
			is.Equal(result.GetStatus(), tt.status)
			is.Equal(record.GetState(), tt.state)
			is.Equal(record.GetId().GetIndex(), tt.index)
			if tt.state == done {
				is.Equal(string(record.GetAnswer().GetBody()), fmt.Sprint("answer of ", tt.index))
			}
		})
	}
}

func TestRetentionStartsWhenClaimEnds(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits())
	table.Claim(1, 0, claimOf("a", "k", "p"))
	table.Finish(500_000, finishOf("a", "k", 1, done))
	table.Expire(559_999)
	is.True(table.Lookup(559_999, Key{"a", "k"}) != nil)
	is.True(table.Lookup(560_000, Key{"a", "k"}) == nil) // an expired record is not returned even before the next Expire
	is.Equal(table.Claim(2, 560_000, claimOf("a", "k", "q")).GetStatus(), granted)
}

func TestRetentionIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	is.Equal(limits.retentionMS(0), (24 * time.Hour).Milliseconds())
	is.Equal(limits.retentionMS(1), time.Minute.Milliseconds())
	is.Equal(limits.retentionMS(1<<31), (30 * 24 * time.Hour).Milliseconds())
}

func TestMalformedClaimsAreRefused(t *testing.T) {
	for name, mutate := range map[string]func(*wire.OnceClaim){
		"no account":     func(c *wire.OnceClaim) { c.Account = "" },
		"no key":         func(c *wire.OnceClaim) { c.Key = "" },
		"long key":       func(c *wire.OnceClaim) { c.Key = string(make([]byte, MaxKeyBytes+1)) },
		"no digest":      func(c *wire.OnceClaim) { c.RequestSha256 = nil },
		"no backend":     func(c *wire.OnceClaim) { c.Backend = "" },
		"no incarnation": func(c *wire.OnceClaim) { c.AgentIncarnation = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewTable(DefaultLimits())
			claim := claimOf("a", "k", "p")
			mutate(claim)
			is.Equal(table.Claim(1, 0, claim).GetStatus(), refused)
			is.Equal(table.Len(), 0)
		})
	}
}

func TestKeysAreScopedToAccount(t *testing.T) {
	is := is.New(t)
	table := NewTable(DefaultLimits())
	table.Claim(1, 0, claimOf("a", "k", "p"))
	other := claimOf("b", "k", "p")
	other.RequestSha256 = digest(9)
	is.Equal(table.Claim(2, 0, other).GetStatus(), granted) // neither EXISTS nor MISMATCH
	is.Equal(table.Finish(0, finishOf("b", "k", 1, done)).GetStatus(), stale)
	is.Equal(table.Lookup(0, Key{"a", "k"}).GetState(), claimed)
}

// fillAccount claims keys for an account until the table refuses a claim. It returns
// the number of granted claims.
func fillAccount(table *Table, account string) int {
	n := 0
	for {
		claim := claimOf(account, fmt.Sprint("k", n), fmt.Sprint("p", n))
		if table.Claim(uint64(table.Len()+1), 0, claim).GetStatus() == full {
			return n
		}
		n++
	}
}

func TestGuaranteedRecordsAreReserved(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.GuaranteedRecords, limits.RecordsPerAccount, limits.SharedRecords = 4, 20, 40
	table := NewTable(limits)
	for i := range 3 {
		is.True(fillAccount(table, fmt.Sprint("large", i)) > 4)
	}
	is.Equal(table.Len(), 3*4+40) // the shared pool is used up
	for i := range 50 {
		is.Equal(fillAccount(table, fmt.Sprint("small", i)), 4)
	}
}

func TestRecordsPerAccountAreLimited(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.GuaranteedRecords, limits.RecordsPerAccount, limits.SharedRecords = 4, 20, 1000
	table := NewTable(limits)
	is.Equal(fillAccount(table, "a"), 20)
	table.Finish(0, finishOf("a", "k3", 4, notRun))
	is.Equal(table.Claim(99, 0, claimOf("a", "k3", "again")).GetStatus(), granted) // replaces the old record
	table.Finish(0, finishOf("a", "k3", 99, done))
	table.Expire(1 << 40)
	is.Equal(table.Len(), 19) // the 19 other claims may still be running
	is.Equal(table.Claim(100, 1<<40, claimOf("a", "new", "p")).GetStatus(), granted)
	is.Equal(table.Claim(101, 1<<40, claimOf("a", "newer", "p")).GetStatus(), full)
}

func TestRecordedBytesAreLimited(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.MaxAnswerBytes, limits.GuaranteedBytes, limits.BytesPerAccount, limits.SharedBytes = 100, 100, 300, 350
	table := NewTable(limits)
	index := uint64(0)
	run := func(account string, size int) wire.OnceResult_Status {
		index++
		key := fmt.Sprint("k", index)
		result := table.Claim(index, 0, claimOf(account, key, "p"))
		if result.GetStatus() == granted {
			finish := finishOf(account, key, index, done)
			finish.Answer.Body = make([]byte, size)
			table.Finish(0, finish)
		}
		return result.GetStatus()
	}
	is.Equal(run("a", 101), granted)
	omitted := table.Lookup(0, Key{"a", "k1"}).GetAnswer()
	is.Equal(omitted.GetStatus(), uint32(201))
	is.True(omitted.GetBodyOmitted() && len(omitted.GetBody()) == 0) // too large to record
	for range 3 {
		is.Equal(run("a", 100), granted)
	}
	is.Equal(run("a", 1), full) // BytesPerAccount is reached
	for range 3 {
		is.Equal(run("b", 100), granted)
	}
	is.Equal(run("c", 100), granted)
	is.Equal(run("c", 1), full) // beyond its guaranteed bytes, and the shared pool is used up
	is.Equal(run("d", 1), granted)
}
