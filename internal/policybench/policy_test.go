package policybench

import (
	"fmt"
	"math"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"
)

// seeds are the fixed seeds of all runs.
var seeds = []uint64{1, 2, 3}

// runKey names one run.
type runKey struct {
	trace, scenario, policy string
	seed                    uint64
}

// runAll makes each run once, for all tests.
var runAll = sync.OnceValue(func() map[runKey]*Result {
	results := make(map[runKey]*Result)
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	for _, tr := range []*Trace{&Punjab, &Kathmandu} {
		for _, sc := range Scenarios {
			for _, p := range Policies {
				for _, seed := range seeds {
					wg.Add(1)
					go func() {
						defer wg.Done()
						slots <- struct{}{}
						res := Run(tr, sc, p, seed)
						<-slots
						mu.Lock()
						results[runKey{tr.Name, sc.Name, p, seed}] = res
						mu.Unlock()
					}()
				}
			}
		}
	}
	wg.Wait()
	return results
})

// figure is a measure of one policy over the seeds.
type figure struct{ mean, low, high float64 }

func over(trace, scenario, policy string, measure func(*Result) float64) figure {
	f := figure{low: math.Inf(1), high: math.Inf(-1)}
	for _, seed := range seeds {
		x := measure(runAll()[runKey{trace, scenario, policy, seed}])
		f.mean += x / float64(len(seeds))
		f.low, f.high = min(f.low, x), max(f.high, x)
	}
	return f
}

func hitRate(r *Result) float64 { return r.HitRate() }

// wasted is the recomputation in tokens for each served call.
func wasted(r *Result) float64 { return float64(r.RecomputedTokens) / float64(max(1, r.Served)) }

func first(p float64) func(*Result) float64 {
	return func(r *Result) float64 { return float64(Percentile(r.FirstTokenTimes, p)) / float64(time.Millisecond) }
}

func refused(r *Result) float64 { return float64(r.Refused+r.Failed) / float64(max(1, r.Calls)) }

// TestFigures prints the table of docs/MEASUREMENTS-routing.md with -v.
func TestFigures(t *testing.T) {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 1, ' ', 0)
	fmt.Fprintln(w, "| trace\t| scenario\t| policy\t| hit rate\t| wasted tokens a call\t| p50 ms\t| p95 ms (low-high)\t| p99 ms\t| refused\t|")
	fmt.Fprintln(w, "|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, tr := range []*Trace{&Punjab, &Kathmandu} {
		for _, sc := range Scenarios {
			for _, p := range Policies {
				of := func(m func(*Result) float64) figure { return over(tr.Name, sc.Name, p, m) }
				p95 := of(first(95))
				fmt.Fprintf(w, "| %s\t| %s\t| %s\t| %.3f\t| %.0f\t| %.0f\t| %.0f (%.0f-%.0f)\t| %.0f\t| %.3f\t|\n",
					tr.Name, sc.Name, p, of(hitRate).mean, of(wasted).mean, of(first(50)).mean,
					p95.mean, p95.low, p95.high, of(first(99)).mean, of(refused).mean)
			}
		}
	}
	w.Flush()
	t.Log("\n" + b.String())
}

// target is one bound of issue 5 on the figures of the project's policy.
type target struct {
	name string
	// check returns the measured figure, the bound and whether it is met.
	check func(trace, scenario string) (got, bound float64, met bool)
}

var targets = []target{
	{"hit rate of the oracle's", func(trace, scenario string) (float64, float64, bool) {
		bound := 0.90
		if scenario == "ordinary" {
			bound = 0.95
		}
		got := over(trace, scenario, routed, hitRate).mean / over(trace, scenario, oraclePolicy, hitRate).mean
		return got, bound, got >= bound
	}},
	{"wasted recomputation to the oracle's", func(trace, scenario string) (float64, float64, bool) {
		got := over(trace, scenario, routed, wasted).mean / over(trace, scenario, oraclePolicy, wasted).mean
		return got, 1.10, got <= 1.10
	}},
	{"wasted recomputation to the best baseline's", func(trace, scenario string) (float64, float64, bool) {
		got := over(trace, scenario, routed, wasted).mean / bestBaseline(trace, scenario, wasted)
		return got, 1, got < 1
	}},
	{"p95 first token to the oracle's", func(trace, scenario string) (float64, float64, bool) {
		got := over(trace, scenario, routed, first(95)).mean / over(trace, scenario, oraclePolicy, first(95)).mean
		return got, 1.25, got <= 1.25
	}},
	{"p95 first token to the best baseline's", func(trace, scenario string) (float64, float64, bool) {
		got := over(trace, scenario, routed, first(95)).mean / bestBaseline(trace, scenario, first(95))
		return got, 1, got < 1
	}},
}

// bestBaseline returns the lowest figure of the baselines.
func bestBaseline(trace, scenario string, measure func(*Result) float64) float64 {
	best := math.Inf(1)
	for _, p := range []string{roundRobin, leastLoad, consistent} {
		best = min(best, over(trace, scenario, p, measure).mean)
	}
	return best
}

// TestTargets holds the figures of the project's policy against the bounds of
// issue 5, for each trace, scenario and target.
func TestTargets(t *testing.T) {
	for _, tr := range []*Trace{&Punjab, &Kathmandu} {
		for _, sc := range Scenarios {
			for _, target := range targets {
				t.Run(tr.Name+"/"+sc.Name+"/"+target.name, func(t *testing.T) {
					got, bound, met := target.check(tr.Name, sc.Name)
					if !met {
						t.Errorf("%.3f, bound %.2f", got, bound)
					}
				})
			}
		}
	}
}

// TestBoardsAtPeak holds the 95th percentile of the first token of each seed
// against the letter's 0.59 s.
func TestBoardsAtPeak(t *testing.T) {
	f := over(Kathmandu.Name, "peak", routed, first(95))
	if f.high > 590 {
		t.Errorf("p95 first token %.0f ms, bound 590 ms", f.high)
	}
}

// TestRunsRepeat runs one simulation twice: all figures are equal.
func TestRunsRepeat(t *testing.T) {
	for _, p := range Policies {
		a, b := Run(&Kathmandu, Scenarios[4], p, 1), Run(&Kathmandu, Scenarios[4], p, 1)
		if !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with one seed differ", p)
		}
	}
}
