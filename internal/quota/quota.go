// Package quota keeps the requests of client accounts within their quotas, summed over all
// routers.
//
// The leader of control has an Allocator: it counts what each quota allows and grants amounts
// of it to the routers that need them. Each router has a Holder: it keeps the amounts and takes
// the cost of each request from them. Amounts expire Lifetime after the router has sent the last
// request that the leader answered, so the sum holds whoever is cut off, paused or restarted.
//
// Both are state machines without I/O: the time is passed in. They are not safe for concurrent
// use.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"parsleypulley/internal/wire"
)

const (
	// Lifetime is how long units are valid after the router has sent the last request that the
	// leader answered. An election takes up to 3.4 s, and routers serve on from what they hold.
	Lifetime = 5 * time.Second
	// NeedTime is how long a request that was recorded with Need may wait for an exchange with
	// the leader.
	NeedTime = 100 * time.Millisecond
	// MaxAccounts limits the accounts in one message, and so its size.
	MaxAccounts = 32
	// maxRetryAfter limits the time after which a caller is told to come back.
	maxRetryAfter = 10 * time.Second
)

// Key identifies a client account. Its lowest bits are 0: messages have the unit there.
type Key uint64

// unitBits is the number of bits of the unit in the account of a message.
const unitBits = 2

// KeyOf returns the key of the client account with a name.
func KeyOf(account string) Key { return Key(xxhash.Sum64String(account) &^ (1<<unitBits - 1)) }

// Limit is the quota of an account.
type Limit struct {
	// PerSecond is the rate in units a second, and Burst what may be used at once beside it.
	PerSecond, Burst float64
	// Unit is what is counted. Units that were granted for one unit are void for another.
	Unit wire.QuotaUnit
}

// LimitOf returns the limit that a quota sets, and whether it sets one.
func LimitOf(q *wire.Quota) (Limit, bool) {
	if q.GetPerSecond() <= 0 {
		return Limit{}, false
	}
	unit := q.GetUnit()
	if unit != wire.QuotaUnit_QUOTA_UNIT_TOKENS {
		unit = wire.QuotaUnit_QUOTA_UNIT_REQUESTS
	}
	return Limit{PerSecond: q.GetPerSecond(), Burst: max(0, q.GetBurst()), Unit: unit}, true
}

// Cost returns what a request costs that declares input tokens of its prompt and output tokens
// at most; 0 for both if it declares none.
func Cost(q *wire.Quota, input, output uint32) uint64 {
	if q.GetUnit() != wire.QuotaUnit_QUOTA_UNIT_TOKENS {
		return 1
	}
	if declared := uint64(input) + uint64(output); declared > 0 {
		return declared
	}
	return uint64(q.GetPlainTokens())
}

// Tolerance is what requests may use beyond a limit: in each window at most
// (rate x Window + burst) x (1 + Over) + Slack units.
type Tolerance struct {
	Window time.Duration
	Over   float64
	// Slack is in units of the quota.
	Slack float64
}

// DefaultTolerance returns the tolerance of deployments that set none.
func DefaultTolerance() Tolerance { return Tolerance{Window: 8 * time.Second, Over: 0.1} }

// allowed returns what requests may use in a window.
func (t Tolerance) allowed(l Limit) float64 {
	return l.PerSecond*t.Window.Seconds() + l.Burst + t.extra(l)
}

// extra returns the part of allowed that exceeds rate x window + burst; A in
// docs/design/demands.md.
func (t Tolerance) extra(l Limit) float64 {
	return t.Over*(l.PerSecond*t.Window.Seconds()+l.Burst) + t.Slack
}

// capacity returns the most that is not used at any time, at the leader and at all routers
// together; S in docs/design/demands.md.
func (t Tolerance) capacity(l Limit) float64 { return l.Burst + t.extra(l)/2 }

// AccountStatus describes an account for metrics.
type AccountStatus struct {
	Key   Key
	Limit Limit
	// Level is what the leader can grant, or what the router can use, in units.
	Level float64
	// Held is what routers hold, or what requests of this router have taken that are not known
	// to run.
	Held float64
	// PerSecond is the mean rate of demand in units a second.
	PerSecond float64
	// Routers is the number of routers that hold or need units; 0 at a router.
	Routers int
}

// typicalWith returns the cost of a large recent request after one more, or after a report: it rises
// six times as fast as it falls, so that about one request in six costs more. fall is the part by which
// it falls.
func typicalWith(typical, cost, fall float64) float64 {
	const rise = 6
	switch {
	case typical == 0:
		return cost
	case cost > typical:
		return typical + rise*fall*(cost-typical)
	}
	return typical + fall*(cost-typical)
}

// accountOf returns the account in messages.
func accountOf(key Key, unit wire.QuotaUnit) uint64 {
	return uint64(key) | uint64(unit)&(1<<unitBits-1)
}

// splitAccount returns the key and the unit of an account in a message.
func splitAccount(account uint64) (Key, wire.QuotaUnit) {
	const mask = 1<<unitBits - 1
	return Key(account &^ mask), wire.QuotaUnit(account & mask)
}

// units returns a whole amount for a message.
func units(amount float64) uint64 {
	if amount <= 0 || math.IsNaN(amount) {
		return 0
	}
	return uint64(min(amount, 1<<62))
}
