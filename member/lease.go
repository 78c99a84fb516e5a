package member

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

var memberChart = chart.MustLoad("Member")

// Errors of a renewal.
const (
	// ErrFenced tells that another member has declared this one failed. It
	// must give up what it owns and may then rejoin as another instance.
	ErrFenced = errors.ConstError("member was fenced")
	// ErrReplaced tells that another process holds the row of this host. This
	// one must give up what it owns and end.
	ErrReplaced = errors.ConstError("member was replaced by another process")
)

// Lease is this host's own row. Use NewLease to make one. It is safe for
// concurrent use.
type Lease struct {
	table tablestore.Table
	// renewMu is held while the row is written, so that renewals follow each
	// other.
	renewMu sync.Mutex

	mu     sync.Mutex
	member Member
	// state is a state of the chart Member.
	state chart.State
	// version is that of the row as last written; 0 before the first write.
	version tablestore.Version
	// validUntil is when the lease lapses on this host's monotonic clock.
	validUntil time.Time
}

// NewLease returns a lease that is not held yet.
func NewLease(table tablestore.Table, m Member) *Lease {
	return &Lease{table: table, member: m, state: memberChart.Initial()}
}

// Member returns the member as its row has it.
func (l *Lease) Member() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.WithState(string(l.state))
}

// ValidFor reports whether the lease lasts for at least the given time. It looks at
// the clock, so that a process that was paused sees a lapsed lease at once.
func (l *Lease) ValidFor(atLeast time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(atLeast).Before(l.validUntil)
}

// Drain marks the member as leaving with the next renewal.
func (l *Lease) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyEvent("Drain")
}

// Rejoin lets a fenced member join again as another instance, after it has given
// up what it owned.
func (l *Lease) Rejoin(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.member = l.member.WithInstance(instance)
}

// Renew writes the row and extends the lease by the given length from the time
// before the write. It fails with ErrFenced or ErrReplaced if another took the
// row over; after that it fails until Rejoin was called.
func (l *Lease) Renew(ctx context.Context, length time.Duration) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	next, version, ok := l.prepareRenewal(length)
	if !ok {
		return errors.Trace(ErrFenced)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	sent := time.Now()
	version, err = l.write(ctx, next.ID, value, version)
	if err != nil {
		l.recordFailure(err)
		return err
	}
	l.recordRenewal(next, version, sent)
	return nil
}

// prepareRenewal returns the content of the row to write, and the version to write over;
// ok is false if the member is gone, or was fenced and has not rejoined.
// Each try has a beat of its own: a row that is found must be told from that of
// an earlier try, from which the lease would last longer than others think.
func (l *Lease) prepareRenewal(length time.Duration) (next Member, version tablestore.Version, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.member.Instance == "" || memberChart.Final(l.state) {
		return Member{}, 0, false
	}
	state := "Active"
	if l.state == "Leaving" {
		state = "Leaving"
	}
	l.member = l.member.withNextBeat()
	return l.member.WithState(state).WithLease(length), l.version, true
}

// write stores the row. The first write of an instance replaces whatever row an
// earlier instance of the same host left behind.
func (l *Lease) write(ctx context.Context, id string, value []byte, version tablestore.Version) (tablestore.Version, error) {
	key := KeyPrefix + id
	if version == 0 {
		row, err := l.table.Get(ctx, key)
		if err != nil {
			return 0, err
		}
		version = row.Version
	}
	written, err := l.table.Put(ctx, key, value, version)
	if err == nil || errors.Is(err, tablestore.ErrUnavailable) {
		return written, err
	}
	row, readErr := l.table.Get(ctx, key)
	if readErr != nil {
		return 0, err
	}
	if bytes.Equal(row.Value, value) {
		return row.Version, nil
	}
	if row.Version == version {
		return 0, err
	}
	return l.classifyConflict(row, err)
}

// classifyConflict tells what it means that the row is not what this instance wrote last.
// An earlier renewal may have taken effect although its answer was lost.
func (l *Lease) classifyConflict(row tablestore.Row, err error) (tablestore.Version, error) {
	m, decodeErr := Decode(row.Value)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case decodeErr != nil || m.Instance == l.member.Instance && m.State == "Fenced":
		return 0, errors.WithType(errors.Errorf("row %s", row.Key), ErrFenced)
	case m.Instance == l.member.Instance:
		l.version = row.Version
		return 0, err
	case l.version == 0 || m.State == "Fenced" || m.State == "Gone":
		return 0, errors.WithType(errors.Errorf("row %s", row.Key), ErrFenced)
	default:
		return 0, errors.WithType(errors.Errorf("row %s", row.Key), ErrReplaced)
	}
}

func (l *Lease) recordRenewal(m Member, version tablestore.Version, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.member, l.version, l.validUntil = m, version, sent.Add(m.Lease)
	if l.state == memberChart.Initial() {
		l.applyEvent("Joined")
		return
	}
	l.applyEvent("Renewed")
}

func (l *Lease) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, ErrFenced) || errors.Is(err, ErrReplaced) {
		l.member = l.member.WithInstance("")
		l.version, l.validUntil = 0, time.Time{}
		l.applyEvent("Fenced")
		return
	}
	if time.Now().After(l.validUntil) {
		l.applyEvent("Lapsed")
	}
}

// Release marks the row as gone, so that others need not wait for the lease.
func (l *Lease) Release(ctx context.Context) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	l.mu.Lock()
	m, version := l.member.withNextBeat().WithState("Gone"), l.version
	l.validUntil = time.Time{}
	l.applyEvent("Left")
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	value, err := json.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.table.Put(ctx, KeyPrefix+m.ID, value, version)
	return err
}

func (l *Lease) applyEvent(e chart.Event) {
	if next, err := memberChart.Next(l.state, e); err == nil {
		l.state = next
	}
}
