package once

import "parsleypulley/internal/wire"

// accountUsage is the usage of one client account.
type accountUsage struct {
	records int
	// bytes is the total size of the recorded bodies.
	bytes int64
}

// usage tracks how many records, and how many bytes of recorded bodies, each
// account keeps and how many of them come from the shared pool.
type usage struct {
	limits   Limits
	accounts map[string]accountUsage
	// sharedRecords is the number of records beyond the guaranteed ones, summed
	// over all accounts.
	sharedRecords int
	// sharedBytes is the size of recorded bodies beyond the guaranteed bytes,
	// summed over all accounts.
	sharedBytes int64
}

func newUsage(limits Limits) usage {
	return usage{limits: limits, accounts: map[string]accountUsage{}}
}

// admits reports whether the limits allow the account one more record.
func (u *usage) admits(account string) bool {
	used := u.accounts[account]
	if used.records >= u.limits.RecordsPerAccount || used.bytes >= u.limits.BytesPerAccount {
		return false
	}
	recordFits := used.records < u.limits.GuaranteedRecords || u.sharedRecords < u.limits.SharedRecords
	bytesFit := used.bytes < u.limits.GuaranteedBytes || u.sharedBytes < u.limits.SharedBytes
	return recordFits && bytesFit
}

func (u *usage) add(record *wire.OnceRecord) {
	u.adjust(record.GetId().GetAccount(), 1, int64(len(record.GetAnswer().GetBody())))
}

func (u *usage) remove(record *wire.OnceRecord) {
	u.adjust(record.GetId().GetAccount(), -1, -int64(len(record.GetAnswer().GetBody())))
}

func (u *usage) adjust(account string, records int, bytes int64) {
	before := u.accounts[account]
	after := accountUsage{records: before.records + records, bytes: before.bytes + bytes}
	u.sharedRecords += u.sharedRecordsOf(after) - u.sharedRecordsOf(before)
	u.sharedBytes += u.sharedBytesOf(after) - u.sharedBytesOf(before)
	if after.records == 0 {
		delete(u.accounts, account)
		return
	}
	u.accounts[account] = after
}

func (u *usage) sharedRecordsOf(used accountUsage) int {
	return max(used.records-u.limits.GuaranteedRecords, 0)
}

func (u *usage) sharedBytesOf(used accountUsage) int64 {
	return max(used.bytes-u.limits.GuaranteedBytes, 0)
}
