package once

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"parsleypulley/internal/wire"
)

// The fixed seed makes each run check the same schedules; the -rapid.seed flag
// overrides it.
func init() { flag.Set("rapid.seed", "20261203") }

// command is one random command: a claim, a finish or an expiry.
type command struct {
	claim  *wire.OnceClaim
	finish *wire.OnceFinish
	expire bool
	now    int64
}

// drawSchedule draws a sequence of commands. It uses few keys so that commands often
// conflict. Their times never go back, like those of the replicated clock.
func drawSchedule(t *rapid.T) []command {
	accounts := rapid.SampledFrom([]string{"a", "b", "c"})
	keys := rapid.SampledFrom([]string{"k1", "k2"})
	proposals := rapid.SampledFrom([]string{"p1", "p2", "p3", "p4", "p5"})
	states := rapid.SampledFrom([]wire.OnceRecord_State{done, notRun, unknown, claimed})
	size := rapid.IntRange(10, 120).Draw(t, "size")
	var now int64
	schedule := make([]command, size)
	for i := range schedule {
		now += rapid.Int64Range(0, 15_000).Draw(t, "step")
		c := command{now: now}
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0, 1:
			c.claim = claimOf(accounts.Draw(t, "account"), keys.Draw(t, "key"), proposals.Draw(t, "proposal"))
			c.claim.RequestSha256 = digest(rapid.IntRange(1, 8).Draw(t, "digest") / 8)
		case 2, 3:
			index := rapid.IntRange(max(0, i-12), i).Draw(t, "index")
			account, key := accounts.Draw(t, "account"), keys.Draw(t, "key")
			if claim := schedule[index].claim; claim != nil {
				account, key = claim.GetAccount(), claim.GetKey()
			}
			c.finish = finishOf(account, key, uint64(index+1), states.Draw(t, "state"))
		case 4:
			c.expire = true
		}
		schedule[i] = c
	}
	return schedule
}

func (c command) apply(table *Table, index uint64) *wire.OnceResult {
	switch {
	case c.claim != nil:
		return table.Claim(index, c.now, proto.CloneOf(c.claim))
	case c.finish != nil:
		return table.Finish(c.now, proto.CloneOf(c.finish))
	}
	table.Expire(c.now)
	return &wire.OnceResult{}
}

func (c command) account() string {
	return c.claim.GetAccount() + c.finish.GetId().GetAccount()
}

func smallTable() *Table {
	limits := DefaultLimits()
	limits.GuaranteedRecords, limits.RecordsPerAccount, limits.SharedRecords = 1, 2, 1
	return NewTable(limits)
}

// TestAtMostOneClaimMayRun checks that a key gets a new claim only after the earlier
// one is proved not to have run, or has ended and its retention is over. It also
// checks that DONE and NOT_RUN never change and that UNKNOWN changes only to DONE.
func TestAtMostOneClaimMayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := smallTable()
		last := map[Key]*wire.OnceRecord{}
		ended := map[Key]int64{}
		for i, c := range drawSchedule(t) {
			result := c.apply(table, uint64(i+1))
			for key, before := range last {
				after := table.records[key]
				checkTransition(t, c, before, after, c.now-ended[key])
				if after.GetState() != before.GetState() && before.GetState() == claimed {
					ended[key] = c.now
				}
			}
			if r := result.GetRecord(); r != nil && r.GetId().GetAccount() != c.account() {
				t.Fatalf("account %q received a record of %q", c.account(), r.GetId().GetAccount())
			}
			last = map[Key]*wire.OnceRecord{}
			for key, record := range table.records {
				last[key] = record
			}
		}
	})
}

// checkTransition checks how one command changed the record of one key. age is the
// time in milliseconds since the claim of the record ended.
func checkTransition(t *rapid.T, c command, before, after *wire.OnceRecord, age int64) {
	sameClaim := after.GetId().GetIndex() == before.GetId().GetIndex()
	overRetention := before.GetState() != claimed && age >= 60_000
	if !sameClaim && before.GetState() != notRun && !overRetention {
		t.Fatalf("%v: %v was replaced by %v at age %d ms", c, before, after, age)
	}
	if sameClaim && after.GetState() != before.GetState() && !wantValidTransition(before.GetState(), after.GetState()) {
		t.Fatalf("invalid transition from %v to %v", before, after)
	}
	if sameClaim && before.GetState() == done && !proto.Equal(before.GetAnswer(), after.GetAnswer()) {
		t.Fatalf("answer changed from %v to %v", before, after)
	}
}

func wantValidTransition(from, to wire.OnceRecord_State) bool {
	return from == claimed && to != none || from == unknown && to == done
}

// TestAccountsAreIndependent checks that the results of an account that stays within
// its guaranteed records do not depend on the commands of other accounts.
func TestAccountsAreIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.GuaranteedRecords, limits.RecordsPerAccount, limits.SharedRecords = 2, 2, 0
		shared, alone := NewTable(limits), NewTable(limits)
		for i, c := range drawSchedule(t) {
			index := uint64(i + 1)
			got := c.apply(shared, index)
			if c.account() != "a" && !c.expire {
				continue
			}
			want := c.apply(alone, index)
			if !proto.Equal(got, want) {
				t.Fatalf("command %d: %v with other accounts, %v alone", i, got, want)
			}
		}
	})
}

// TestRestoredTableIsEquivalent checks that a table restored at any point gives the
// same results as the original for all later commands.
func TestRestoredTableIsEquivalent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := drawSchedule(t)
		cut := rapid.IntRange(0, len(schedule)).Draw(t, "cut")
		first, second := smallTable(), smallTable()
		for i, c := range schedule {
			if i == cut {
				second.Restore(first.Records())
			}
			want := c.apply(first, uint64(i+1))
			if i >= cut && !proto.Equal(c.apply(second, uint64(i+1)), want) {
				t.Fatalf("command %d differs after a restore", i)
			}
		}
		if cut < len(schedule) && !slices.EqualFunc(first.Records(), second.Records(), func(a, b *wire.OnceRecord) bool { return proto.Equal(a, b) }) {
			t.Fatal("tables differ")
		}
	})
}

func TestExpiryQueueIsBounded(t *testing.T) {
	table := NewTable(DefaultLimits())
	for i := uint64(1); i < 20_000; i++ {
		table.Claim(i, 0, claimOf("a", "k", fmt.Sprint(i)))
		table.Finish(0, finishOf("a", "k", i, notRun))
	}
	if len(table.expiry) > 2*minExpirySlack {
		t.Fatalf("the expiry queue holds %d records and the table %d", len(table.expiry), table.Len())
	}
}

func BenchmarkClaimAndFinish(b *testing.B) {
	table := NewTable(DefaultLimits())
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		key := fmt.Sprint("k", i%10_000)
		table.Claim(i, int64(i)*100, claimOf("a", key, "p"))
		table.Finish(int64(i)*100, finishOf("a", key, i, done))
	}
}
