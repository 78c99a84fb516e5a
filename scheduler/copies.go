package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// maxOrderCopies is the maximum number of times that an order is sent, including the
	// first.
	maxOrderCopies = 3
	// copyTimeout is when an order counts as unanswered. A worker answers within a few
	// milliseconds, and within 50 ms from another region.
	copyTimeout = 300 * time.Millisecond
)

// sendCopies sends an order until the worker answers it. Orders are idempotent: a worker
// accepts a copy if it has the run, and refuses a copy whose run has ended or was
// stopped. An unanswered copy may still be carried out, so after one a refusal of a later
// copy does not tell whether the order took effect, and the result is NoAnswer.
func sendCopies(ctx context.Context, send func(ctx context.Context) cell.Answer) cell.Answer {
	inDoubt := false
	for range maxOrderCopies {
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
