package gate

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/wire"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run check the same schedules. -rapid.seed on the
	// command line overrides it.
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "10000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// claimModel checks a gate with dispatches and queries that are delayed, repeated
// and reordered. Whatever the gate reports about a claim must stay true.
type claimModel struct {
	gate    *Gate
	now     time.Time
	runs    map[uint64]int
	notRun  map[uint64]bool
	tickets map[uint64]Ticket
	serial  int
}

func (m *claimModel) admit(t *rapid.T, index uint64) {
	m.serial++
	d := booking(fmt.Sprint("r", m.serial), fmt.Sprint("k", index%3), index)
	ticket, err := m.gate.Admit(m.now, d)
	if err == nil {
		m.runs[index]++
		m.tickets[index] = ticket
		if m.runs[index] > 1 {
			t.Fatalf("claim %d ran %d times", index, m.runs[index])
		}
		if m.notRun[index] {
			t.Fatalf("claim %d ran after it was reported as not run", index)
		}
		return
	}
	switch err.Outcome {
	case fault.NotRun:
		m.recordNotRun(t, index)
	case fault.Ran:
		if m.runs[index] == 0 {
			t.Fatalf("claim %d was reported as run but has not run", index)
		}
	}
}

func (m *claimModel) recordNotRun(t *rapid.T, index uint64) {
	m.notRun[index] = true
	if m.runs[index] > 0 {
		t.Fatalf("claim %d was reported as not run but has run", index)
	}
}

func (m *claimModel) query(t *rapid.T, index uint64) {
	fate, err := m.gate.QueryClaim(m.now, query(fmt.Sprint("k", index%3), index))
	if err != nil {
		return
	}
	_, running := m.tickets[index]
	switch fate.Fate {
	case wire.ClaimFate_FATE_NEVER_RUN:
		m.recordNotRun(t, index)
	case wire.ClaimFate_FATE_RUNNING:
		if !running {
			t.Fatalf("claim %d was reported as running but is not", index)
		}
	case wire.ClaimFate_FATE_DONE:
		if m.runs[index] != 1 || running {
			t.Fatalf("claim %d was reported as done but is not", index)
		}
		if string(fate.Answer.Body) != fmt.Sprint(index) {
			t.Fatalf("claim %d got the response of claim %s", index, fate.Answer.Body)
		}
	}
}

// finish ends a run. A run that the backend server refused does not count as a run.
func (m *claimModel) finish(index uint64, result Result) {
	m.gate.Finish(m.now, m.tickets[index], result)
	delete(m.tickets, index)
	if result.NotRun {
		m.runs[index] = 0
	}
}

func TestClaimsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.MaxClaims = rapid.IntRange(2, 8).Draw(t, "max claims")
		limits.MaxAccountClaims = rapid.IntRange(1, 8).Draw(t, "max account claims")
		limits.MaxRunning = rapid.IntRange(1, 4).Draw(t, "max running")
		limits.MaxAnswerBytes = rapid.IntRange(1, 10).Draw(t, "max answer bytes")
		m := &claimModel{
			gate: newGate("farmdesk", limits), now: t0,
			runs: map[uint64]int{}, notRun: map[uint64]bool{}, tickets: map[uint64]Ticket{},
		}
		index := rapid.Uint64Range(1, 12)
		t.Repeat(map[string]func(*rapid.T){
			"dispatch": func(t *rapid.T) { m.admit(t, index.Draw(t, "claim")) },
			"query":    func(t *rapid.T) { m.query(t, index.Draw(t, "claim")) },
			"finish": func(t *rapid.T) {
				i := index.Draw(t, "claim")
				if _, running := m.tickets[i]; !running {
					return
				}
				results := []Result{{NotRun: true}, {}, {Answer: &wire.StoredAnswer{Body: []byte(fmt.Sprint(i))}}}
				m.finish(i, rapid.SampledFrom(results).Draw(t, "result"))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute, time.Hour}).Draw(t, "time"))
			},
			"drain":  func(t *rapid.T) { m.gate.SetDraining(rapid.Bool().Draw(t, "draining")) },
			"engine": func(t *rapid.T) { m.gate.EngineUp(rapid.Uint64Range(1, 3).Draw(t, "incarnation"), nil) },
			"down":   func(*rapid.T) { m.gate.EngineDown() },
			"": func(t *rapid.T) {
				if n := m.gate.Status().Claims; n > tombstoneFactor*limits.MaxClaims {
					t.Fatalf("the table has %d claims", n)
				}
			},
		})
	})
}
