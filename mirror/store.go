package mirror

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/transfer"
)

// defaultBound is the time within which a change must be known if Bound is nil or returns 0.
const defaultBound = 2500 * time.Millisecond

// Shares of the time within which a change must be known.
const (
	// waitShare is how long a host waits for a change in one call, to the store or to another host.
	waitShare = 0.2
	// marginShare is how much later an answer to such a call may come.
	marginShare = 0.125
	// searchShare is how long a host looks for another one to ask before it reads from the store.
	searchShare = 0.5
	// pendingShare is how long a host waits for another one that is reading. A read takes that long
	// only if the link is busy, which more reads would delay further.
	pendingShare = 0.75
	// maxAgeShare is the age from which what another host knows is too old.
	maxAgeShare = 0.5
)

// maxProbes is the number of hosts that are probed after one has failed.
const maxProbes = 5

const (
	// errNothingRecent means that another host has nothing recent to tell.
	errNothingRecent = errors.ConstError("host knows nothing recent")
	// errPending means that another host has nothing recent to tell, but is reading.
	errPending = errors.ConstError("host is still reading")
	// errRoot means that this host reads from the store for its region.
	errRoot = errors.ConstError("this host is the root of the tree")
	// errNobodyAbove means that no other host can be asked.
	errNobodyAbove = errors.ConstError("no other host to ask")
)

// Store is a ledger.Store that reads one table from another host of the region where there is one,
// and else from the store. It also answers the other hosts. All reads of the table come from one
// goroutine.
type Store struct {
	ledger.Store
	// Table is the mirrored table.
	Table string
	// Self is the name of this host.
	Self string
	// Peers returns the hosts of the region, this one included.
	Peers func(ctx context.Context) []Peer
	// Bound returns the time within which a change must be known. It may be nil.
	Bound func() time.Duration
	// Receiving reports whether an answer of the store about the table is arriving. It may be nil.
	Receiving func() bool
	// Client makes the calls to other hosts.
	Client *http.Client
	// OnAnswer is called after each call to another host that failed or returned rows. It may be nil.
	OnAnswer func(AskStats)

	// FromHosts and FailedAsks count the calls to other hosts that returned rows, and those that failed.
	FromHosts, FailedAsks atomic.Int64

	table       table
	compressing sync.Mutex
	// listing reports whether a list is read from the store, and abovePending whether the host that
	// was asked last is reading.
	listing, abovePending atomic.Bool
	// listVersion is the version of the first page of the last list.
	listVersion ledger.Version

	mu    sync.Mutex
	order order
	// asking is the host that was asked last; "" if the last read was from the store.
	asking string
}

// AskStats describes a call to another host.
type AskStats struct {
	Host string
	// Took is the duration of the call, and Bytes the length of the answer's body.
	Took  time.Duration
	Bytes int
	Rows  int
	Err   error
}

// Feed implements ledger.Store.
func (s *Store) Feed(ctx context.Context, table string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
	if table != s.Table {
		return s.Store.Feed(ctx, table, after, wait)
	}
	rows, err := s.askAbove(ctx)
	if err == nil {
		return ledger.Page{Rows: rows, Version: s.table.wholeVersion(), Source: ledger.FromHost}, nil
	}
	// A short wait keeps what others are told recent, and lets this host ask another one soon.
	wait = min(wait, s.share(waitShare))
	begun := clock.Now()
	page, feedErr := s.Store.Feed(ctx, table, after, wait)
	if feedErr != nil {
		s.table.fail()
		return page, feedErr
	}
	confirmed := begun
	if len(page.Rows) == 0 {
		// The store had no change until the end of the wait.
		confirmed += min(wait, clock.Now()-begun)
	}
	version := page.Version
	if s.table.wholeVersion() == 0 {
		version = 0
	}
	s.table.add(page.Rows, version, confirmed)
	page.Source = sourceOf(err)
	return page, nil
}

// Rows implements ledger.Store.
func (s *Store) Rows(ctx context.Context, table, part, from string, limit int) (ledger.Page, error) {
	if table != s.Table {
		return s.Store.Rows(ctx, table, part, from, limit)
	}
	var searchErr error = errNobodyAbove
	if from == "" {
		if _, searchErr = s.askAbove(ctx); searchErr == nil {
			rows, version := s.table.all(part)
			return ledger.Page{Rows: rows, Version: version, Source: ledger.FromHost}, nil
		}
	}
	begun := clock.Now()
	s.listing.Store(true)
	page, err := s.Store.Rows(ctx, table, part, from, limit)
	s.listing.Store(false)
	if err != nil {
		s.table.fail()
		return page, err
	}
	if from == "" {
		s.listVersion = page.Version
	}
	version := s.listVersion
	if page.More {
		version = 0
	}
	s.table.add(page.Rows, version, begun)
	page.Source = sourceOf(searchErr)
	return page, nil
}

// sourceOf returns the source of a page that was read from the store, after a search for another
// host has failed.
func sourceOf(searchErr error) ledger.Source {
	if errors.Is(searchErr, errRoot) {
		return ledger.FromStoreForRegion
	}
	return ledger.FromStore
}

// Distrust makes this host ask another one than the one that it asked last, which is behind others.
func (s *Store) Distrust() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asking != "" {
		s.order.distrust(clock.Now(), s.asking)
	}
}

// askAbove asks the host above this one for changes, and the next one if it fails. The error is
// errRoot if this host is the root of the tree, and errNobodyAbove if there is no tree or no host
// has answered in time.
func (s *Store) askAbove(ctx context.Context) ([]ledger.Row, error) {
	peers := s.Peers(ctx)
	if len(peers) < 2 {
		return nil, errNobodyAbove
	}
	begun := clock.Now()
	for ctx.Err() == nil && clock.Now()-begun < s.share(searchShare) {
		above := s.above(peers)
		if len(above) == 0 {
			s.abovePending.Store(false)
			return nil, errRoot
		}
		rows, pending, err := s.askUntilRead(ctx, above[0])
		if err == nil {
			return rows, nil
		}
		begun += pending
		if ctx.Err() == nil {
			s.probe(ctx, above[1:min(len(above), 1+maxProbes)])
		}
	}
	s.mu.Lock()
	s.asking = ""
	s.mu.Unlock()
	return nil, errNobodyAbove
}

// above returns the hosts to ask, and notes the first of them.
func (s *Store) above(peers []Peer) []Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	above := s.order.above(clock.Now(), s.Self, peers)
	s.asking = ""
	if len(above) > 0 {
		s.asking = above[0].Name
	}
	return above
}

// probe finds out at once which of several hosts answer. One host that fails is often one of many, and
// to wait for each of them takes too long.
func (s *Store) probe(ctx context.Context, peers []Peer) {
	var probes sync.WaitGroup
	for _, p := range peers {
		probes.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+Path, nil)
			if err == nil {
				margin := s.share(marginShare)
				_, err = transfer.Do(s.Client, r, transfer.Limits{Header: margin, Silence: margin, Bytes: maxAnswerBytes})
			}
			if err != nil && ctx.Err() == nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.order.fail(clock.Now(), p.Name)
			}
		})
	}
	probes.Wait()
}

// askUntilRead asks another host for changes, and again while it is reading. It returns how long it
// was.
func (s *Store) askUntilRead(ctx context.Context, p Peer) (rows []ledger.Row, pending time.Duration, err error) {
	begun := clock.Now()
	for {
		rows, err = s.ask(ctx, p)
		if !errors.Is(err, errPending) {
			return rows, pending, err
		}
		if pending = clock.Now() - begun; pending >= s.share(pendingShare) {
			s.Distrust()
			return nil, pending, err
		}
	}
}

// Pending reports whether this host, or the one that it asks, is reading rows. A list that follows a
// failed read counts only once its answer arrives.
func (s *Store) Pending() bool {
	return s.abovePending.Load() || s.listing.Load() && !s.table.hasFailed() || s.Receiving != nil && s.Receiving()
}

// ask makes one call to another host, and notes whether it can be relied on.
func (s *Store) ask(ctx context.Context, p Peer) ([]ledger.Row, error) {
	begun := clock.Now()
	stats := AskStats{Host: p.Name}
	rows, err := s.call(ctx, p, &stats)
	stats.Took, stats.Rows, stats.Err = clock.Now()-begun, len(rows), err
	if err != nil {
		s.abovePending.Store(errors.Is(err, errPending))
	}
	if ctx.Err() == nil {
		s.count(stats)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.order.succeed(p.Name)
	case ctx.Err() != nil, errors.Is(err, errPending):
	case errors.Is(err, errNothingRecent):
		s.order.distrust(clock.Now(), p.Name)
	default:
		s.order.fail(clock.Now(), p.Name)
	}
	return rows, err
}

func (s *Store) count(stats AskStats) {
	switch {
	case stats.Err == nil && stats.Rows == 0, errors.Is(stats.Err, errPending):
		return
	case stats.Err != nil:
		s.FailedAsks.Add(1)
	default:
		s.FromHosts.Add(1)
	}
	if s.OnAnswer != nil {
		s.OnAnswer(stats)
	}
}

// call makes one call to another host, and adds what it returns to the table.
func (s *Store) call(ctx context.Context, p Peer, stats *AskStats) ([]ledger.Row, error) {
	q := request{Wait: s.share(waitShare), MaxAge: s.share(maxAgeShare)}
	for k, v := range s.table.versions() {
		q.Known = append(q.Known, wireVersion{Part: k.Part, Key: k.Key, Version: v})
	}
	data, err := codec.Marshal(q)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+Path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	margin := s.share(marginShare)
	response, err := transfer.Do(s.Client, r, transfer.Limits{Header: q.Wait + margin, Silence: margin, Bytes: maxAnswerBytes})
	stats.Bytes = len(response.Body)
	switch {
	case err != nil:
		return nil, err
	case response.Status == http.StatusAccepted:
		return nil, errPending
	case response.Status == http.StatusServiceUnavailable:
		return nil, errNothingRecent
	case response.Status != http.StatusOK:
		return nil, errors.Errorf("status %d: %.200s", response.Status, response.Body)
	}
	a, rows, err := decodeAnswer(s.Table, response.Body)
	if err != nil {
		return nil, err
	}
	s.abovePending.Store(a.Pending)
	s.table.add(rows, a.Version, clock.Now()-a.Age)
	return rows, nil
}

// share returns a share of the time within which a change must be known.
func (s *Store) share(share float64) time.Duration {
	bound := defaultBound
	if s.Bound != nil {
		if b := s.Bound(); b > 0 {
			bound = b
		}
	}
	return time.Duration(share * float64(bound))
}
