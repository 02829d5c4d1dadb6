package e2e

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakFault is one fault of a soak run. Its times count from the start of the faults.
type soakFault struct {
	at, length time.Duration
	kind       faultKind
	// target is the name of the affected process. other is that of a second process for
	// faultOneWay, or empty.
	target, other string
	// n is a count or a strength, depending on kind.
	n int
}

func (f soakFault) String() string {
	return fmt.Sprintf("%v +%v %s %s %s %d", f.at, f.length, f.kind, f.target, f.other, f.n)
}

type faultKind string

const (
	// faultKill kills and restarts a process n times.
	faultKill faultKind = "kill"
	// faultStop stops a process with SIGTERM, kills it if it doesn't end in time, and
	// restarts it.
	faultStop faultKind = "stop"
	// faultPause pauses a process with SIGSTOP, so that its state becomes outdated.
	faultPause faultKind = "pause"
	// faultKillGroup kills and restarts all processes whose names begin with target.
	faultKillGroup faultKind = "herd"
	// faultCut blocks all traffic of a process.
	faultCut faultKind = "cut"
	// faultOneWay blocks what a process sends to other, or to all if other is empty.
	faultOneWay faultKind = "one-way"
	// faultDelay delays all traffic of a process by n times 10 ms.
	faultDelay faultKind = "delay"
	// faultReset resets the connections of a process n times.
	faultReset faultKind = "reset"
	// faultTornWrite kills a control replica, leaves a torn write at the end of its log
	// and restarts it.
	faultTornWrite faultKind = "torn"
	// faultWipeData kills a control replica, removes its data folder and restarts it.
	faultWipeData faultKind = "wipe"
	// faultBackend injects a fault of package standin into a backend server; n selects
	// a crash, a crash during a completion, a freeze, cut streams, slowness or refusals.
	faultBackend faultKind = "engine"
	// faultChange changes the configuration n times in succession.
	faultChange faultKind = "change"
	// faultDrain drains a backend server and undrains it.
	faultDrain faultKind = "drain"
)

// faultWeights are the relative frequencies of the kinds of faults.
var faultWeights = []struct {
	kind   faultKind
	weight int
}{
	{faultKill, 5}, {faultStop, 3}, {faultPause, 4}, {faultKillGroup, 2}, {faultCut, 3}, {faultOneWay, 3}, {faultDelay, 2}, {faultReset, 3},
	{faultTornWrite, 2}, {faultWipeData, 1}, {faultBackend, 4}, {faultChange, 4}, {faultDrain, 2},
}

const (
	// minFaultLength and maxFaultLength bound the length of a fault.
	minFaultLength = 200 * time.Millisecond
	maxFaultLength = 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. It is shorter
	// than most faults, so that several overlap.
	meanFaultInterval = 700 * time.Millisecond
)

// soakPlan generates the faults of a soak run of the given length from a seed. At most
// one fault removes a data folder, as three control replicas tolerate only one loss.
func soakPlan(seed uint64, length time.Duration) []soakFault {
	r := rand.New(rand.NewPCG(seed, 1))
	var plan []soakFault
	wiped := false
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval))
		if at >= length {
			break
		}
		f := soakFault{at: at.Round(time.Millisecond), kind: drawKind(r), n: 1 + r.IntN(6)}
		f.length = (minFaultLength + time.Duration(r.Int64N(int64(maxFaultLength-minFaultLength)))).Round(time.Millisecond)
		f.target = drawProcess(r, f.kind)
		if other := drawProcess(r, faultPause); f.kind == faultOneWay && other != f.target && r.IntN(2) == 0 {
			f.other = other
		}
		if f.kind == faultWipeData {
			if wiped {
				continue
			}
			wiped = true
		}
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b soakFault) int { return cmp.Compare(a.at, b.at) })
	return plan
}

func drawKind(r *rand.Rand) faultKind {
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	draw := r.IntN(total)
	for _, w := range faultWeights {
		if draw < w.weight {
			return w.kind
		}
		draw -= w.weight
	}
	panic("unreachable")
}

// drawProcess draws the target of a fault among the processes that the kind can affect.
func drawProcess(r *rand.Rand, kind faultKind) string {
	control := fmt.Sprint("control-", r.IntN(controls))
	router := fmt.Sprint("router-", r.IntN(routers))
	backend := fmt.Sprint("runner-", r.IntN(engines))
	if r.IntN(engines+services) < services {
		backend = fmt.Sprint("farmdesk-", r.IntN(services))
	}
	switch kind {
	case faultTornWrite, faultWipeData:
		return control
	case faultBackend, faultDrain:
		return backend
	case faultChange:
		return ""
	case faultKillGroup:
		return []string{"control-", "router-", "runner-"}[r.IntN(3)]
	}
	return []string{control, router, backend}[r.IntN(3)]
}

// TestSoakPlanIsDeterministic checks that a seed always gives the same plan, and that
// every kind of fault occurs and overlaps with every other.
func TestSoakPlanIsDeterministic(t *testing.T) {
	is := is.New(t)
	seen, pairs := map[faultKind]int{}, map[[2]faultKind]bool{}
	const seeds = 200
	for seed := range uint64(seeds) {
		plan := soakPlan(seed, 10*time.Second)
		is.Equal(fmt.Sprint(plan), fmt.Sprint(soakPlan(seed, 10*time.Second)))
		wipes := 0
		for i, f := range plan {
			seen[f.kind]++
			if f.kind == faultWipeData {
				wipes++
			}
			for _, g := range plan[i+1:] {
				if g.at < f.at+f.length {
					pairs[[2]faultKind{f.kind, g.kind}] = true
				}
			}
		}
		is.True(wipes <= 1)
	}
	is.Equal(len(seen), len(faultWeights))
	for _, a := range faultWeights {
		for _, b := range faultWeights {
			if a.kind != faultWipeData || b.kind != faultWipeData {
				is.True(pairs[[2]faultKind{a.kind, b.kind}] || pairs[[2]faultKind{b.kind, a.kind}])
			}
		}
	}
}
