package dispatch

import "sync"

// Bounds of the retry budgets, in retries. The crash of one busy engine must not
// use up an account's budget.
const (
	budgetCap     = 64
	budgetInitial = 32
	// maxBudgets bounds the number of accounts and backend servers that a
	// budget remembers; the least used are forgotten with their credit.
	maxBudgets = 1 << 15
)

// Budget limits retries to a share of the requests of each client account, and
// retries away from each backend server to a share of the work it was given,
// so that faults don't multiply load. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// ratio is the number of retries that each request earns.
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

// CreditAccount credits the account with one request.
func (b *Budget) CreditAccount(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(b.accounts, account)
}

// CreditBackend credits the backend server with one request it was given.
func (b *Budget) CreditBackend(backend string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit(b.backends, backend)
}

func (b *Budget) credit(m map[string]float64, name string) {
	balance, ok := m[name]
	if !ok {
		balance = budgetInitial
		if len(m) >= maxBudgets {
			clear(m)
		}
	}
	m[name] = min(balance+b.ratio, budgetCap)
}

// Withdraw takes one retry from both budgets. It reports false, and takes
// nothing, when either is used up. An empty backend server name draws on the
// account alone.
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

func balanceOf(m map[string]float64, name string) float64 {
	if balance, ok := m[name]; ok {
		return balance
	}
	return budgetInitial
}
