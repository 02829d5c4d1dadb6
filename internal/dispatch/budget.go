package dispatch

import "sync"

// Limits of the retry budgets, in retries. They are large enough that the crash
// of one busy engine does not use up an account's budget.
const (
	maxBalance     = 64
	initialBalance = 32
	// maxBalances is the maximum number of accounts, and of backend servers,
	// whose balance is kept. Crediting a new one beyond that clears all balances
	// of its kind; they start again at initialBalance.
	maxBalances = 1 << 15
)

// Budget limits retries so that failures don't multiply the load. The retries of
// a client account are limited to a share of its requests. The retries after
// failures of a backend server are limited to a share of the requests sent to
// that server. Budget is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the number of retries credited per request.
	ratio    float64
	accounts map[string]float64
	backends map[string]float64
}

// NewBudget returns a budget that allows percent retries per 100 requests.
func NewBudget(percent int) *Budget {
	return &Budget{ratio: float64(percent) / 100, accounts: map[string]float64{}, backends: map[string]float64{}}
}

// SetPercent changes the retries allowed per 100 requests.
func (b *Budget) SetPercent(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = float64(percent) / 100
}

// CreditAccount credits a client account for one request that it sent.
func (b *Budget) CreditAccount(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(b.accounts, account)
}

// CreditBackend credits a backend server for one request sent to it.
func (b *Budget) CreditBackend(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(b.backends, backend)
}

func (b *Budget) credit(balances map[string]float64, name string) {
	balance, ok := balances[name]
	if !ok {
		balance = initialBalance
		if len(balances) >= maxBalances {
			clear(balances)
		}
	}
	balances[name] = min(balance+b.ratio, maxBalance)
}

// Withdraw takes one retry from the balances of the account and the backend
// server. If either is used up, it takes nothing and returns false. If backend is
// empty, only the account's balance counts.
func (b *Budget) Withdraw(account, backend string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if balanceOf(b.accounts, account) < 1 {
		return false
	}
	if backend != "" {
		if balanceOf(b.backends, backend) < 1 {
			return false
		}
		b.backends[backend] = balanceOf(b.backends, backend) - 1
	}
	b.accounts[account] = balanceOf(b.accounts, account) - 1
	return true
}

func balanceOf(balances map[string]float64, name string) float64 {
	if balance, ok := balances[name]; ok {
		return balance
	}
	return initialBalance
}
