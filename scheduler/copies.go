package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// orderCopies is how often an order is sent until it is answered, in all.
	orderCopies = 3
	// copyTimeout is when a copy counts as unanswered. A worker answers in a few
	// milliseconds, and in 50 from another region.
	copyTimeout = 300 * time.Millisecond
)

// sendCopies sends an order until a worker answers it. Copies do no harm: a worker
// accepts one whose run it has, and turns down one whose run has ended or was stopped.
// Each copy without an answer may still be carried out, so that after one a refusal of
// another says nothing.
func sendCopies(ctx context.Context, send func(ctx context.Context) cell.Answer) cell.Answer {
	inDoubt := false
	for range orderCopies {
		limited, cancel := context.WithTimeout(ctx, copyTimeout)
		answer := send(limited)
		cancel()
		switch {
		case answer == cell.NoAnswer:
			inDoubt = true
		case inDoubt && answer != cell.Accepted:
			return cell.NoAnswer
		default:
			return answer
		}
	}
	return cell.NoAnswer
}
