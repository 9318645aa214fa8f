// SPDX-License-Identifier: MIT

package route

import "sync"

// RetryBudget limits retries to a fraction of the first attempts.
type RetryBudget struct {
	// Ratio is the number of retries that one first attempt adds to the budget; DefaultRetryRatio when 0.
	Ratio float64
	// Burst is the largest balance of the budget, in retries; DefaultRetryBurst when 0.
	Burst float64

	mu      sync.Mutex
	balance float64
}

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// Deposit adds the share of one first attempt to the budget.
func (b *RetryBudget) Deposit() {
	ratio, burst := b.Ratio, b.Burst
	if ratio == 0 {
		ratio = DefaultRetryRatio
	}
	if burst == 0 {
		burst = DefaultRetryBurst
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(burst, b.balance+ratio)
}

// TryWithdraw takes one retry from the budget and reports whether the balance allowed it.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
