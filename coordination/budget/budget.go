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

	mu    sync.Mutex
	saved float64
	spent uint64
	short uint64
}

// New returns a full budget.
func New(p Params) *Budget { return &Budget{params: p, saved: p.Burst} }

// Earn counts a request's first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.params.Ratio, b.params.Burst)
}

// Spend takes one extra attempt. It reports false where none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		b.short++
		return false
	}
	b.saved--
	b.spent++
	return true
}

// Available reports whether an extra attempt could be spent now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.saved >= 1
}

// Counts returns how many extra attempts were spent, and how many were wanted
// and not there.
func (b *Budget) Counts() (spent, short uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent, b.short
}
