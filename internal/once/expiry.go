package once

import (
	"container/heap"
	"slices"
	"strings"

	"parsleypulley/internal/wire"
)

// expired reports whether a record may be dropped. A CLAIMED record never
// expires, since its call may be running.
func (t *Table) expired(nowMS int64, record *wire.OnceRecord) bool {
	return record.GetState() != wire.OnceRecord_STATE_CLAIMED && nowMS >= record.GetExpiresMs()
}

// Expire drops all expired records and returns their number.
func (t *Table) Expire(nowMS int64) int {
	dropped := 0
	for len(t.expiry) > 0 && t.expiry[0].ExpiresMs <= nowMS {
		record := heap.Pop(&t.expiry).(*wire.OnceRecord)
		if t.records[KeyOf(record)] == record && t.expired(nowMS, record) {
			t.drop(record)
			dropped++
		}
	}
	return dropped
}

// Records returns all records, sorted by account and key.
func (t *Table) Records() []*wire.OnceRecord {
	records := make([]*wire.OnceRecord, 0, len(t.records))
	for _, record := range t.records {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b *wire.OnceRecord) int {
		if c := strings.Compare(a.GetId().GetAccount(), b.GetId().GetAccount()); c != 0 {
			return c
		}
		return strings.Compare(a.GetId().GetKey(), b.GetId().GetKey())
	})
	return records
}

// Restore replaces the contents of the table with records, as returned by Records.
func (t *Table) Restore(records []*wire.OnceRecord) {
	t.records = make(map[Key]*wire.OnceRecord, len(records))
	t.usage = newUsage(t.limits)
	t.expiry = nil
	for _, record := range records {
		t.put(record)
	}
}

// minExpirySlack is the number of replaced records that the expiry queue may
// always hold, however few records the table has.
const minExpirySlack = 1024

// rebuildExpiryQueue rebuilds the expiry queue without replaced records, so that
// they do not stay in it until they expire.
func (t *Table) rebuildExpiryQueue() {
	t.expiry = nil
	for _, record := range t.records {
		t.expiry.add(record)
	}
}

// expiryQueue is a heap of records, ordered by expiry time. A replaced record
// stays in the queue until it expires or the queue is rebuilt.
type expiryQueue []*wire.OnceRecord

func (q *expiryQueue) add(record *wire.OnceRecord) {
	if record.GetState() != wire.OnceRecord_STATE_CLAIMED {
		heap.Push(q, record)
	}
}

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].ExpiresMs < q[j].ExpiresMs }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(*wire.OnceRecord)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	record := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return record
}
