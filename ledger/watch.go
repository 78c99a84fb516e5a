package ledger

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// defaultFeedWait is how long a feed call waits for a change by default.
	defaultFeedWait = 15 * time.Second
	// relistFeedWait bounds the first feed call after a list that was read because
	// history was dropped; the rows are listed again after it. Changes must be in force
	// 2.5 s after they are made.
	relistFeedWait = time.Second
	// watchRetryPause is the pause after a failed call of a watch.
	watchRetryPause = 300 * time.Millisecond
	// largeRow is the size from which a row is large, in bytes.
	largeRow = 32 << 10
)

// Watch follows the changes of one part of a table.
type Watch struct {
	Store Store
	Table string
	// Part is the watched part. Changes of other parts are ignored.
	Part string
	// MinInterval is the minimum interval between two calls, so that changes arrive in
	// batches.
	MinInterval time.Duration
	// LargeRowPause is the longest pause after a large row has changed; 0 means none. The rows
	// are listed after it, so that of the versions written meanwhile only the newest is read:
	// a feed returns each of them to each host, over the same links. The pause is up to a third
	// shorter, at random, so that the hosts do not read at the same time, and two thirds as long
	// if this host alone reads from the store in its region. There is none after rows of another host.
	LargeRowPause time.Duration
	// FeedWait is how long a feed call waits for a change; 0 means defaultFeedWait.
	FeedWait time.Duration
	// OnList is called with all rows, at first and whenever history was dropped. If it is
	// nil, OnChange is called for each row instead.
	OnList func(rows []Row)
	// OnChange is called for each row that has changed. Versions of a row that the same call
	// returns with a newer one are left out.
	OnChange func(row Row)
	// OnSuccess is called after each successful list or feed call. It may be nil.
	OnSuccess func()
	// OnError is called after a list or feed call has failed, unless history was dropped.
	// It may be nil.
	OnError func(err error)
	// ListAfterGap makes the watch list the rows after a feed call that failed or was made
	// again. The feed would return each version of a row that was written meanwhile.
	ListAfterGap bool
	// Reissue delivers requests to cancel the feed call in flight, which the store may
	// have lost, and to make it again. A request from before the call has no effect. It may be
	// nil.
	Reissue <-chan struct{}
}

// errReissue is the error of a feed call that was cancelled to be made again.
var errReissue = errors.ConstError("feed call cancelled to be made again")

// Run follows the table until the context ends. A list that was read because history was
// dropped is read once more shortly afterwards: a row written while history is being
// dropped may be in neither the list nor the following feed.
func (w Watch) Run(ctx context.Context) {
	p := watchState{needsList: true}
	for ctx.Err() == nil {
		relisting := p.needsRelist
		var err error
		p, err = w.step(ctx, p)
		pause := w.MinInterval
		switch {
		case err == nil:
			if w.OnSuccess != nil {
				w.OnSuccess()
			}
			if p.hasLargeChange {
				pause = max(pause, w.largeRowPause(p.source))
			}
		case errors.Is(err, ErrHistoryDropped) && relisting:
			// The list did not help, and may not help again.
			pause = watchRetryPause
		case errors.Is(err, ErrHistoryDropped), errors.Is(err, errReissue):
			pause = 0
		default:
			if w.OnError != nil && ctx.Err() == nil {
				w.OnError(err)
			}
			pause = watchRetryPause
		}
		if pause > 0 && !timer.Sleep(ctx, pause) {
			return
		}
	}
}

// watchState is the progress of a watch.
type watchState struct {
	// after is the version from which the feed continues.
	after Version
	// needsList reports whether the rows are to be listed next.
	needsList bool
	// needsRelist reports whether the rows are to be listed once more after the next feed
	// call.
	needsRelist bool
	// hasLargeChange reports whether the last call returned a change of a large row, for which
	// alone the rows are listed after a pause.
	hasLargeChange bool
	// source is where the last call was answered.
	source Source
	// feedAfterFailedList reports whether the feed follows if the list fails, rather than
	// another list.
	feedAfterFailedList bool
}

// step makes the next call and returns the new state.
func (w Watch) step(ctx context.Context, p watchState) (watchState, error) {
	if p.needsList {
		page, large, err := w.list(ctx, p.after)
		if err != nil {
			if p.feedAfterFailedList {
				// A list has less time for its answer than a feed, and a slow link may need more.
				p.needsList, p.hasLargeChange, p.feedAfterFailedList = false, false, false
			}
			return p, err
		}
		return watchState{after: page.Version, needsList: large, needsRelist: p.needsRelist, hasLargeChange: large, source: page.Source, feedAfterFailedList: large}, nil
	}
	wait := w.feedWait()
	if p.needsRelist {
		wait = min(wait, relistFeedWait)
	}
	page, large, err := w.readFeed(ctx, p.after, wait)
	switch {
	case errors.Is(err, ErrHistoryDropped):
		return watchState{needsList: true, needsRelist: true}, err
	case err != nil:
		p.needsList = p.needsList || w.ListAfterGap
		p.feedAfterFailedList = errors.Is(err, errReissue)
		return p, err
	default:
		onlyLarge := large && !p.needsRelist
		after := max(p.after, page.Version)
		return watchState{after: after, needsList: p.needsRelist || large, hasLargeChange: onlyLarge, source: page.Source, feedAfterFailedList: onlyLarge}, nil
	}
}

func (w Watch) feedWait() time.Duration {
	if w.FeedWait == 0 {
		return defaultFeedWait
	}
	return w.FeedWait
}

// largeRowPause returns the next pause after a change of a large row.
func (w Watch) largeRowPause(source Source) time.Duration {
	pause := w.LargeRowPause - rand.N(w.LargeRowPause/3+1)
	if source == FromStoreForRegion {
		pause = pause * 2 / 3
	}
	return pause
}

// hasLargeChange reports whether a page read from the store has a large row that is newer than a
// version.
func (w Watch) hasLargeChange(p Page, after Version) bool {
	return w.LargeRowPause > 0 && p.Source != FromHost && slices.ContainsFunc(p.Rows, func(r Row) bool {
		return r.Part == w.Part && r.Version > after && len(r.Value) >= largeRow
	})
}

// list reads and reports all rows. It reports whether a large row has changed since a version.
func (w Watch) list(ctx context.Context, since Version) (page Page, large bool, err error) {
	page, err = readAll(ctx, w.Store, w.Table, w.Part)
	if err != nil {
		return Page{}, false, err
	}
	large = w.hasLargeChange(page, since)
	if w.OnList != nil {
		w.OnList(page.Rows)
		return page, large, nil
	}
	for _, r := range page.Rows {
		w.OnChange(r)
	}
	return page, large, nil
}

// readFeed makes one feed call and reports its changes, and whether a large row has changed.
func (w Watch) readFeed(ctx context.Context, after Version, wait time.Duration) (page Page, large bool, err error) {
	select {
	case <-w.Reissue:
	default:
	}
	limited, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-w.Reissue:
			cancel(errReissue)
		case <-limited.Done():
		}
	}()
	page, err = w.Store.Feed(limited, w.Table, after, wait)
	if err != nil {
		if errors.Is(context.Cause(limited), errReissue) {
			return Page{}, false, errReissue
		}
		return Page{}, false, err
	}
	w.reportNewest(page.Rows)
	return page, w.hasLargeChange(page, after), nil
}

// reportNewest reports the newest version of each row of the watched part.
func (w Watch) reportNewest(rows []Row) {
	newest := map[string]Version{}
	for _, r := range rows {
		if r.Part == w.Part {
			newest[r.Key] = r.Version
		}
	}
	for _, r := range rows {
		if r.Part == w.Part && r.Version == newest[r.Key] {
			w.OnChange(r)
		}
	}
}
