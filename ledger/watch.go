package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// feedWait is how long a feed waits for a change.
	feedWait = 15 * time.Second
	// confirmWait is how long the first feed after a list waits, if history was gone, until
	// the rows are listed again. Changes must be in force 2.5 s after they are made.
	confirmWait = time.Second
	// watchRetry is the pause after a call of a watch has failed.
	watchRetry = 300 * time.Millisecond
)

// Watch follows one part of a table.
type Watch struct {
	Store Store
	Table string
	// Part is the part that is listed at first; a feed tells of all parts.
	Part string
	// MinInterval is the least time between two calls, so that changes come in
	// batches.
	MinInterval time.Duration
	// FeedWait is how long a call waits for a change; 0 is feedWait.
	FeedWait time.Duration
	// OnList takes all rows, at first and whenever history is gone; nil hands each
	// of them to Change.
	OnList func(rows []Row)
	// OnChange takes a row that has changed.
	OnChange func(row Row)
	// OnSuccess is told when the store answered; nil is nobody.
	OnSuccess func()
	// OnError is told of an error; nil is nobody.
	OnError func(err error)
	// Reissue ends the call under way, which the store may have lost, and makes it
	// again; nil never does.
	Reissue <-chan struct{}
}

// errAgain is the error of a call that was ended to be made again.
var errAgain = errors.ConstError("the store was away: the call is made again")

// Run follows the table until the context ends. A list that was read because history was
// gone is read once more a moment later: what is written while history goes may be in
// neither the list nor the feed after it.
func (w Watch) Run(ctx context.Context) {
	p := progress{unlisted: true}
	for ctx.Err() == nil {
		var err error
		p, err = w.step(ctx, p)
		pause := w.MinInterval
		switch {
		case err == nil:
			if w.OnSuccess != nil {
				w.OnSuccess()
			}
		case errors.Is(err, ErrHistoryDropped), errors.Is(err, errAgain):
			pause = 0
		default:
			if w.OnError != nil && ctx.Err() == nil {
				w.OnError(err)
			}
			pause = watchRetry
		}
		if pause > 0 && !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// progress is how far a watch is.
type progress struct {
	// after is the version from which the feed goes on.
	after Version
	// unlisted tells that the rows are to be listed next.
	unlisted bool
	// unconfirmed tells that the list is to be read once more after the next feed.
	unconfirmed bool
}

// step makes the next call.
func (w Watch) step(ctx context.Context, p progress) (progress, error) {
	if p.unlisted {
		after, err := w.list(ctx)
		if err != nil {
			return p, err
		}
		return progress{after: after, unconfirmed: p.unconfirmed}, nil
	}
	wait := w.wait()
	if p.unconfirmed {
		wait = min(wait, confirmWait)
	}
	after, err := w.follow(ctx, p.after, wait)
	switch {
	case errors.Is(err, ErrHistoryDropped):
		return progress{unlisted: true, unconfirmed: true}, err
	case err != nil:
		return p, err
	default:
		return progress{after: after, unlisted: p.unconfirmed}, nil
	}
}

func (w Watch) wait() time.Duration {
	if w.FeedWait == 0 {
		return feedWait
	}
	return w.FeedWait
}

func (w Watch) list(ctx context.Context) (Version, error) {
	rows, version, err := ReadAll(ctx, w.Store, w.Table, w.Part)
	if err != nil {
		return 0, err
	}
	if w.OnList != nil {
		w.OnList(rows)
		return version, nil
	}
	for _, r := range rows {
		w.OnChange(r)
	}
	return version, nil
}

func (w Watch) follow(ctx context.Context, after Version, wait time.Duration) (Version, error) {
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-w.Reissue:
			cancel(errAgain)
		case <-limited.Done():
		}
	}()
	page, err := w.Store.Feed(limited, w.Table, after, wait)
	if err != nil {
		if errors.Is(context.Cause(limited), errAgain) {
			return after, errAgain
		}
		return after, err
	}
	for _, r := range page.Rows {
		if r.Part == w.Part {
			w.OnChange(r)
		}
	}
	return max(after, page.Version), nil
}
