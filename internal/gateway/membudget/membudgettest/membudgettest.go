// Package membudgettest makes and reads budgets of answers in tests.
//
// # Usage
//
//	budget := membudgettest.ForAnswers(1 << 20)
//	held := membudgettest.HeldAnswers(budget)
package membudgettest

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// ForAnswers returns a budget that bounds answers alone, in bytes.
func ForAnswers(limit int64) *membudget.Budget {
	return membudget.New(membudget.Options{Limits: memory.NewLimits(0).WithAnswers(limit)})
}

// HeldAnswers returns how many bytes of answers are held now.
func HeldAnswers(b *membudget.Budget) int64 { return b.Usage(memory.Answer).Held() }

// PeakAnswers returns the most bytes of answers that were ever held at once.
func PeakAnswers(b *membudget.Budget) int64 { return b.Usage(memory.Answer).Peak() }
