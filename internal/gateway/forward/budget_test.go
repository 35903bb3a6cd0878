package forward_test

import (
	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// answerBudget returns a budget that bounds answers alone, in bytes.
func answerBudget(limit int64) *membudget.Budget {
	return membudget.New(membudget.Options{Limits: memory.NewLimits(0).WithAnswers(limit)})
}

func heldAnswers(b *membudget.Budget) int64 { return b.Usage(memory.Answer).Held() }

func peakAnswers(b *membudget.Budget) int64 { return b.Usage(memory.Answer).Peak() }
