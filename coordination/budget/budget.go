// Package budget bounds extra attempts: retries and hedges. Each entry earns its
// extra attempts from its own requests, so the sum over all entries stays the
// same part of all requests, whatever their number.
package budget

import "sync"

// Params are the properties of a budget.
type Params struct {
	// Ratio is the number of extra attempts earned by one request.
	Ratio float64
	// Burst is the most that can be saved up, and what a budget begins with.
	Burst float64
}

// Budget counts extra attempts. Its methods may be called at the same time.
type Budget struct {
	params Params

	mu        sync.Mutex
	balance   float64
	withdrawn uint64
	denied    uint64
}

// New returns a full budget.
func New(p Params) *Budget { return &Budget{params: p, balance: p.Burst} }

// Deposit counts a request's first attempt.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.params.Ratio, b.params.Burst)
}

// TryWithdraw takes one extra attempt. It reports false where none is left.
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

// Available reports whether an extra attempt could be spent now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balance >= 1
}

// Counts returns how many extra attempts were spent, and how many were wanted
// and not there.
func (b *Budget) Counts() (spent, short uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withdrawn, b.denied
}
