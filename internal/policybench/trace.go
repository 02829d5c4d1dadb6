package policybench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"parsleypulley/internal/routing"
	"parsleypulley/internal/wire"
)

// Trace describes the traffic of one deployment.
type Trace struct {
	Name string
	// Domains are the failure domains.
	Domains []string
	// CacheTokens is the capacity of an engine's prefix cache, in tokens.
	CacheTokens uint32
	// Settings are the routing weights of the deployment's preset.
	Settings routing.Settings
	// StandingRate is the number of requests per second on standing contexts, and
	// SessionRate the number of new contexts per second, both at a load factor of 1.
	StandingRate, SessionRate float64
	// StandingContexts is the number of contexts that are in use for the whole run.
	StandingContexts int
	// ZipfExponent is the exponent of the popularity of standing contexts.
	ZipfExponent float64
	// SessionQuestions is the number of questions on a new context.
	SessionQuestions int
	// SessionTime is the time within which the questions on a new context arrive.
	SessionTime time.Duration
	// InstructionTokens, ContextTokens, QuestionTokens and OutputTokens are ranges of
	// lengths in tokens, with the upper bound excluded.
	InstructionTokens, ContextTokens, QuestionTokens, OutputTokens [2]int
	// Deadline is the time within which a call must get its first token.
	Deadline time.Duration
}

// Punjab is the traffic of a silage advisory service: a few questions on each of
// many long reports, and requests on some standing templates.
var Punjab = Trace{
	Name:        "punjab",
	Domains:     []string{"punjab-a", "punjab-b", "punjab-c", "punjab-d"},
	CacheTokens: 160_000, Settings: routing.Settings{RecomputeWeight: 2, WaitWeight: 1, ColdStartReserve: 0.1},
	StandingRate: 14, SessionRate: 3.5, StandingContexts: 24, ZipfExponent: 1, SessionQuestions: 6, SessionTime: 15 * time.Second,
	InstructionTokens: [2]int{1500, 2500}, ContextTokens: [2]int{6000, 24000}, QuestionTokens: [2]int{100, 400}, OutputTokens: [2]int{60, 160},
	Deadline: 20 * time.Second,
}

// Kathmandu is the traffic of departure boards: short questions and answers on
// standing route timetables, a few of which are very popular.
var Kathmandu = Trace{
	Name:        "kathmandu",
	Domains:     []string{"thamel", "patan", "bhaktapur", "kirtipur"},
	CacheTokens: 60_000, Settings: routing.Settings{RecomputeWeight: 1, WaitWeight: 2, ColdStartReserve: 0.1},
	StandingRate: 160, SessionRate: 0.5, StandingContexts: 120, ZipfExponent: 1, SessionQuestions: 4, SessionTime: 10 * time.Second,
	InstructionTokens: [2]int{600, 1000}, ContextTokens: [2]int{3000, 6000}, QuestionTokens: [2]int{80, 300}, OutputTokens: [2]int{20, 60},
	Deadline: 4 * time.Second,
}

// accountShares are the client accounts' fractions of the traffic. A few accounts
// have most of it.
var accountShares = [...]float64{0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05}

var accountNames = [...]string{"a0", "a1", "a2", "a3", "a4", "a5", "a6", "a7"}

// call is one request of a trace.
type call struct {
	// at is the time of arrival since the start of the run.
	at      time.Duration
	account string
	levels  []*wire.PrefixLevel
	// output is the number of output tokens.
	output int
}

// document is an instruction with a context, on which several questions are asked.
type document struct {
	// account is an index into accountShares.
	account int
	id      uint64
	// instruction and context are lengths in tokens.
	instruction, context uint32
}

// generate returns the calls of a trace, sorted by time. load multiplies the rates.
// From shift on, if it isn't 0, the popularity of the standing contexts is
// redistributed, and a new context receives a sixth of the standing requests.
// extraFirstAccount adds traffic of the first account, as a multiple of its share.
func (tr *Trace) generate(random *rand.Rand, load float64, length, shift time.Duration, extraFirstAccount float64) []call {
	g := generator{trace: tr, random: random}
	for range accountShares {
		g.instructions = append(g.instructions, uint32(g.uniform(tr.InstructionTokens)))
	}
	standing := make([]document, tr.StandingContexts)
	for i := range standing {
		standing[i] = g.newDocument(g.drawAccount())
	}
	hot := g.newDocument(0)
	ranking := random.Perm(tr.StandingContexts)
	shiftedRanking := random.Perm(tr.StandingContexts)
	g.poissonArrivals(length, tr.StandingRate*load, func(at time.Duration) {
		order := ranking
		if shift > 0 && at >= shift {
			order = shiftedRanking
			if random.IntN(6) == 0 {
				g.addQuestion(at, hot)
				return
			}
		}
		g.addQuestion(at, standing[order[g.zipf()]])
	})
	g.poissonArrivals(length, tr.SessionRate*load, func(at time.Duration) { g.addSession(at, g.newDocument(g.drawAccount())) })
	if extraFirstAccount > 0 {
		share := accountShares[0] * extraFirstAccount
		g.poissonArrivals(length, tr.StandingRate*load*share, func(at time.Duration) { g.addQuestion(at, standing[0].forAccount(0)) })
		g.poissonArrivals(length, tr.SessionRate*load*share, func(at time.Duration) { g.addSession(at, g.newDocument(0)) })
	}
	slices.SortStableFunc(g.calls, func(a, b call) int { return cmp.Compare(a.at, b.at) })
	return g.calls
}

type generator struct {
	trace        *Trace
	random       *rand.Rand
	instructions []uint32
	// zipfCumulative holds the cumulative weights of the ranks; see zipf.
	zipfCumulative []float64
	calls          []call
}

// uniform draws a number from a range, with the upper bound excluded.
func (g *generator) uniform(r [2]int) int { return r[0] + g.random.IntN(r[1]-r[0]) }

// drawAccount draws an index into accountShares, with these shares as probabilities.
func (g *generator) drawAccount() int {
	x := g.random.Float64()
	for i, share := range accountShares {
		if x -= share; x < 0 {
			return i
		}
	}
	return 0
}

func (g *generator) newDocument(account int) document {
	return document{account, g.random.Uint64(), g.instructions[account], uint32(g.uniform(g.trace.ContextTokens))}
}

// forAccount returns a document of another account with the same lengths.
func (d document) forAccount(account int) document {
	d.account = account
	d.id ^= uint64(account)
	return d
}

// addSession adds the questions on one new context.
func (g *generator) addSession(at time.Duration, d document) {
	for i := range g.trace.SessionQuestions {
		delay := time.Duration(g.random.Float64() * float64(g.trace.SessionTime))
		if i == 0 {
			delay = 0
		}
		g.addQuestion(at+delay, d)
	}
}

// addQuestion adds a call with a new question on a document.
func (g *generator) addQuestion(at time.Duration, d document) {
	instruction := &wire.PrefixLevel{Key: uint64(d.account+1) * 0x9e3779b97f4a7c15, Tokens: d.instruction}
	contextLevel := &wire.PrefixLevel{Key: d.id, Tokens: d.instruction + d.context}
	question := &wire.PrefixLevel{Key: g.random.Uint64(), Tokens: contextLevel.Tokens + uint32(g.uniform(g.trace.QuestionTokens))}
	g.calls = append(g.calls, call{
		at: at, account: accountNames[d.account], output: g.uniform(g.trace.OutputTokens),
		levels: []*wire.PrefixLevel{instruction, contextLevel, question},
	})
}

// poissonArrivals calls onArrival with the times of a Poisson process. rate is in
// arrivals per second.
func (g *generator) poissonArrivals(length time.Duration, rate float64, onArrival func(time.Duration)) {
	at := 0.0
	for rate > 0 {
		at += g.random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return
		}
		onArrival(time.Duration(at * float64(time.Second)))
	}
}

// zipf draws the rank of a standing context from a Zipf distribution.
func (g *generator) zipf() int {
	if len(g.zipfCumulative) == 0 {
		sum := 0.0
		for i := range g.trace.StandingContexts {
			sum += math.Pow(float64(i+1), -g.trace.ZipfExponent)
			g.zipfCumulative = append(g.zipfCumulative, sum)
		}
	}
	x := g.random.Float64() * g.zipfCumulative[len(g.zipfCumulative)-1]
	i, _ := slices.BinarySearch(g.zipfCumulative, x)
	return min(i, g.trace.StandingContexts-1)
}
