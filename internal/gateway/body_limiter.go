package gateway

import (
	"io"
	"sync"

	"parsleypulley/internal/fault"
)

// Limits of the memory for the request bodies of all calls in progress.
const (
	maxBodyMemory        = 256 << 20
	maxAccountBodyMemory = maxBodyMemory / 4
)

// bodyLimiter limits the memory for the request bodies of all calls in progress.
// The limit per account prevents one account from using all of it with slow or
// many large bodies.
type bodyLimiter struct {
	maxTotal, maxPerAccount int64

	mu   sync.Mutex
	used int64
	// byAccount is the part of used that belongs to each account.
	byAccount map[string]int64
}

func newBodyLimiter(maxTotal, maxPerAccount int64) *bodyLimiter {
	return &bodyLimiter{maxTotal: maxTotal, maxPerAccount: maxPerAccount, byAccount: map[string]int64{}}
}

// reserve adds n bytes of account. It returns an error, and adds nothing, if this
// would exceed a limit.
func (b *bodyLimiter) reserve(account string, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byAccount[account]+n > b.maxPerAccount {
		return fault.New(fault.AccountLimit, fault.NotRun, "the bodies of the account's calls in progress are over %d bytes", b.maxPerAccount)
	}
	if b.used+n > b.maxTotal {
		return fault.New(fault.Overloaded, fault.NotRun, "the bodies of all calls in progress are over %d bytes", b.maxTotal)
	}
	b.used += n
	b.byAccount[account] += n
	return nil
}

// free subtracts n bytes of account.
func (b *bodyLimiter) free(account string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	if b.byAccount[account] -= n; b.byAccount[account] == 0 {
		delete(b.byAccount, account)
	}
}

// countedBody is a request body that reserves memory for the bytes that are read
// from it.
type countedBody struct {
	io.ReadCloser
	bodyLimiter *bodyLimiter
	account     string
	size        int64
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if refusal := c.bodyLimiter.reserve(c.account, int64(n)); refusal != nil {
		return 0, refusal
	}
	c.size += int64(n)
	return n, err
}

// release releases the reserved memory at the end of the call.
func (c *countedBody) release() { c.bodyLimiter.free(c.account, c.size) }
