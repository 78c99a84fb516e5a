package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
)

// maxExplainWait bounds the time for which a query waits for the event loop, which handles no events
// while the owner recovers the cell.
const maxExplainWait = 2 * time.Second

// Explain reports how the cell handles a job now, and changes nothing. One query at a time is
// queued, so that operators' tools can't displace other events. The error satisfies errors.NotFound
// or errors.NotValid as that of cell.Cell.Explain, or errors.Timeout.
func (o *Owner) Explain(ctx context.Context, q cell.Query) (cell.Explanation, error) {
	if !o.explaining.CompareAndSwap(false, true) {
		return cell.Explanation{}, errors.New("the owner explains another job, try again")
	}
	type result struct {
		explanation cell.Explanation
		err         error
	}
	ctx, cancel := context.WithTimeout(ctx, maxExplainWait)
	defer cancel()
	results := make(chan result, 1)
	if !o.tryEnqueue(func(now time.Duration) {
		defer o.explaining.Store(false)
		if ctx.Err() == nil {
			e, err := o.explain(now, q)
			results <- result{e, err}
		}
	}) {
		o.explaining.Store(false)
		return cell.Explanation{}, errors.New("the owner is behind, try again")
	}
	select {
	case r := <-results:
		return r.explanation, r.err
	case <-ctx.Done():
		return cell.Explanation{}, errors.NewTimeout(nil, "no answer of the owner: it is behind, or recovers the cell")
	}
}

// explain answers a query in the event loop. To what the cell tells it adds whether a new job would
// be refused, and the state of a job that the cell has already forgotten.
func (o *Owner) explain(now time.Duration, q cell.Query) (cell.Explanation, error) {
	if q.Job != "" {
		e, err := o.cell.Explain(now, q)
		if r := o.state(q.Job); errors.Is(err, errors.NotFound) && r.Outcome == intake.Reported {
			return cell.Explanation{Job: q.Job, State: r.State}, nil
		}
		return e, err
	}
	refused := ""
	if len(o.cell.Organisations()) > 0 {
		v := o.admission.Preview(now, q.Organisation, o.cell.IsOverdue(q.Organisation))
		q.BeyondShare = v.BeyondShare
		if v.Refused() {
			refused = refusedBeyondShare
		}
	}
	if o.commitTooSlow(now) {
		refused = refusedStore
	}
	e, err := o.cell.Explain(now, q)
	e.Refused = refused
	return e, err
}
