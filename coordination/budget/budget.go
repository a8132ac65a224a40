// Package budget limits extra attempts, that is retries and hedges, to a share of
// the requests. Each entry keeps a budget that its own requests fill, so that
// the share over all entries is the same, whatever their number. It says whether another
// attempt may be made, not whether a request is within its workspace's rate (packages quota
// and ratelimit).
package budget

import "sync"

// Params are the properties of a budget.
type Params struct {
	// Ratio is the number of extra attempts that one request adds.
	Ratio float64
	// Burst is the maximum and the initial balance.
	Burst float64
}

// Budget is a balance of extra attempts. It is safe for concurrent use.
type Budget struct {
	params Params

	mu        sync.Mutex
	balance   float64
	withdrawn uint64
	denied    uint64
}

// New returns a budget whose balance is p.Burst.
func New(p Params) *Budget { return &Budget{params: p, balance: p.Burst} }

// Deposit adds the extra attempts for one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.params.Ratio, b.params.Burst)
}

// TryWithdraw takes one extra attempt. It reports false if the balance is below
// one.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		b.denied++
		return false
	}
	b.balance--
	b.withdrawn++
	return true
}

// Available reports whether TryWithdraw would succeed now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance >= 1
}

// Counts returns the numbers of extra attempts withdrawn and denied.
func (b *Budget) Counts() (withdrawn, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdrawn, b.denied
}
