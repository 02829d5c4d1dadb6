package once

import "parsleypulley/internal/wire"

// accountUsage is what one client account holds.
type accountUsage struct {
	records int
	bytes   int64
}

// usage counts what each account and the shared pool hold.
type usage struct {
	limits   Limits
	accounts map[string]accountUsage
	// sharedRecords and sharedBytes sum up what accounts hold beyond what each
	// of them is guaranteed.
	sharedRecords int
	sharedBytes   int64
}

func newUsage(limits Limits) usage {
	return usage{limits: limits, accounts: map[string]accountUsage{}}
}

// admits reports whether the account may have one more record.
func (u *usage) admits(account string) bool {
	held := u.accounts[account]
	if held.records >= u.limits.RecordsPerAccount || held.bytes >= u.limits.BytesPerAccount {
		return false
	}
	recordFits := held.records < u.limits.GuaranteedRecords || u.sharedRecords < u.limits.SharedRecords
	bytesFit := held.bytes < u.limits.GuaranteedBytes || u.sharedBytes < u.limits.SharedBytes
	return recordFits && bytesFit
}

func (u *usage) add(record *wire.OnceRecord) {
	u.change(record.GetId().GetAccount(), 1, int64(len(record.GetAnswer().GetBody())))
}

func (u *usage) remove(record *wire.OnceRecord) {
	u.change(record.GetId().GetAccount(), -1, -int64(len(record.GetAnswer().GetBody())))
}

func (u *usage) change(account string, records int, bytes int64) {
	before := u.accounts[account]
	after := accountUsage{records: before.records + records, bytes: before.bytes + bytes}
	u.sharedRecords += u.recordsBeyond(after) - u.recordsBeyond(before)
	u.sharedBytes += u.bytesBeyond(after) - u.bytesBeyond(before)
	if after.records == 0 {
		delete(u.accounts, account)
		return
	}
	u.accounts[account] = after
}

func (u *usage) recordsBeyond(held accountUsage) int {
	return max(held.records-u.limits.GuaranteedRecords, 0)
}

func (u *usage) bytesBeyond(held accountUsage) int64 {
	return max(held.bytes-u.limits.GuaranteedBytes, 0)
}
