// SPDX-License-Identifier: MIT

package route

import "sync"

// RetryBudget allows a number of retries in proportion to the first attempts.
type RetryBudget struct {
	// Ratio is the retries that one first attempt earns; 0.1 when 0.
	Ratio float64
	// Burst bounds what can be saved up; 10 when 0.
	Burst float64

	mu    sync.Mutex
	saved float64
}

// Defaults of a RetryBudget.
const (
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// Deposit counts a first attempt.
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
	b.saved = min(burst, b.saved+ratio)
}

// TryWithdraw takes one retry from the budget and says whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
