package once

import (
	"time"

	"parsleypulley/internal/wire"
)

// MaxKeyBytes is the maximum length of an idempotency key, and of the proposal ID
// in a claim, in bytes.
const MaxKeyBytes = 255

// Limits are the limits of a table. DefaultLimits returns the defaults. Each client
// account has GuaranteedRecords reserved records. Further records come from a pool
// that all accounts share, so no account can use up another's reserved records.
type Limits struct {
	// GuaranteedRecords is the number of records reserved for each account.
	GuaranteedRecords int
	// RecordsPerAccount is the maximum number of records of one account.
	RecordsPerAccount int
	// SharedRecords is the maximum number of records beyond the guaranteed ones,
	// summed over all accounts.
	SharedRecords int
	// GuaranteedBytes is the total size of recorded bodies reserved for each
	// account. This limit, BytesPerAccount and SharedBytes are checked when a
	// call is claimed, before the size of its response is known. Each open claim
	// may exceed them by MaxAnswerBytes.
	GuaranteedBytes int64
	// BytesPerAccount is the maximum total size of recorded bodies of one
	// account.
	BytesPerAccount int64
	// SharedBytes is the maximum total size of recorded bodies beyond the
	// guaranteed bytes, summed over all accounts.
	SharedBytes int64
	// MaxAnswerBytes is the maximum size of one recorded body. Of a response with
	// a larger body, only the status and the headers are recorded.
	MaxAnswerBytes int
	// DefaultRetention is how long a record is kept after its claim has ended, if
	// the claim states no retention.
	DefaultRetention time.Duration
	// MinRetention is the minimum retention of all records.
	MinRetention time.Duration
	// MaxRetention is the maximum retention of all records.
	MaxRetention time.Duration
}

// DefaultLimits returns the limits used in all deployments.
func DefaultLimits() Limits {
	return Limits{
		GuaranteedRecords: 16,
		RecordsPerAccount: 20_000,
		SharedRecords:     100_000,
		GuaranteedBytes:   64 << 10,
		BytesPerAccount:   32 << 20,
		SharedBytes:       128 << 20,
		MaxAnswerBytes:    256 << 10,
		DefaultRetention:  24 * time.Hour,
		MinRetention:      time.Minute,
		MaxRetention:      30 * 24 * time.Hour,
	}
}

// retentionMS returns the effective retention of a claim in milliseconds. Zero
// seconds means that the claim states none.
func (l Limits) retentionMS(seconds uint32) int64 {
	retention := time.Duration(seconds) * time.Second
	if seconds == 0 {
		retention = l.DefaultRetention
	}
	return min(max(retention, l.MinRetention), l.MaxRetention).Milliseconds()
}

// limitAnswerSize returns answer, without its body if the body is too large to record.
func (l Limits) limitAnswerSize(answer *wire.StoredAnswer) *wire.StoredAnswer {
	if len(answer.GetBody()) <= l.MaxAnswerBytes {
		return answer
	}
	return &wire.StoredAnswer{
		Status:      answer.GetStatus(),
		Headers:     answer.GetHeaders(),
		BodyOmitted: true,
	}
}
