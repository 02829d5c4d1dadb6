package account

import (
	"fmt"
	"math"

	"parsleypulley/internal/wire"
)

// MaxQuotaUnits is the largest rate and the largest burst of a quota, in units. Larger amounts
// could not be counted exactly.
const MaxQuotaUnits = 1e12

// QuotaProblem is a field of a quota that is invalid.
type QuotaProblem struct {
	// Field is the name of the field in wire.Quota.
	Field string
	// Reason says what is wrong.
	Reason string
	// Fix says what to write instead.
	Fix string
}

// CheckQuota returns the problems of a quota; none for nil, which is no quota.
func CheckQuota(q *wire.Quota) []QuotaProblem {
	if q == nil {
		return nil
	}
	var problems []QuotaProblem
	amounts := []struct {
		field string
		value float64
	}{{"per_second", q.GetPerSecond()}, {"burst", q.GetBurst()}}
	for _, a := range amounts {
		if math.IsNaN(a.value) || a.value < 0 || a.value > MaxQuotaUnits {
			problems = append(problems, QuotaProblem{a.field, fmt.Sprintf("%v is out of range", a.value), fmt.Sprintf("use a number from 0 to %v", MaxQuotaUnits)})
		}
	}
	if q.GetPerSecond() == 0 && q.GetBurst() >= 0 {
		problems = append(problems, QuotaProblem{"per_second", "the quota has no rate", "set a rate above 0, or remove the quota"})
	}
	if unit := q.GetUnit(); unit != wire.QuotaUnit_QUOTA_UNIT_REQUESTS && unit != wire.QuotaUnit_QUOTA_UNIT_TOKENS {
		problems = append(problems, QuotaProblem{"unit", fmt.Sprintf("unknown unit %d", unit), "use requests or tokens"})
	}
	return problems
}
