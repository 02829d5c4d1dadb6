package once

import (
	"time"

	"parsleypulley/internal/wire"
)

// MaxKeyBytes bounds an idempotency key.
const MaxKeyBytes = 255

// Limits bound the table; DefaultLimits gives the usual ones. Each client
// account has Guaranteed records of its own. Further ones come from a pool
// that all accounts share, so no account can take what another is guaranteed.
type Limits struct {
	// GuaranteedRecords is the number of records that every account may hold.
	GuaranteedRecords int
	// RecordsPerAccount is the greatest number of records of one account.
	RecordsPerAccount int
	// SharedRecords is the number of records beyond the guaranteed ones, all accounts
	// together.
	SharedRecords int
	// GuaranteedBytes, BytesPerAccount and SharedBytes bound the recorded
	// bodies likewise. They are checked at the claim, when the size of the
	// answer isn't known yet, so open claims may exceed them by AnswerBytes each.
	GuaranteedBytes, BytesPerAccount, SharedBytes int64
	// MaxAnswerBytes is the greatest size of one recorded body.
	MaxAnswerBytes int
	// DefaultRetention applies to claims that state none; MinRetention and
	// MaxRetention bound all others.
	DefaultRetention, MinRetention, MaxRetention time.Duration
}

// DefaultLimits returns the limits for all deployments.
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

// retentionMS returns a claim's retention in milliseconds.
func (l Limits) retentionMS(seconds uint32) int64 {
	retention := time.Duration(seconds) * time.Second
	if seconds == 0 {
		retention = l.DefaultRetention
	}
	return min(max(retention, l.MinRetention), l.MaxRetention).Milliseconds()
}

// bounded returns the answer without its body if that is too large to record.
func (l Limits) bounded(answer *wire.StoredAnswer) *wire.StoredAnswer {
	if len(answer.GetBody()) <= l.MaxAnswerBytes {
		return answer
	}
	return &wire.StoredAnswer{
		Status:      answer.GetStatus(),
		Headers:     answer.GetHeaders(),
		BodyOmitted: true,
	}
}
