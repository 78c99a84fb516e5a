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
	// ErrFenced means that this member has lost its row, usually because another
	// member has fenced it. It must release what it owns and may then rejoin as
	// another instance.
	ErrFenced = errors.ConstError("member was fenced")
	// ErrReplaced means that another process holds the row of this host. This one
	// must release what it owns and exit.
	ErrReplaced = errors.ConstError("member was replaced by another process")
)

// Lease is this host's own row in the table. Use NewLease to create one. It is safe
// for concurrent use.
type Lease struct {
	table tablestore.Table
	// renewMu is held while the row is written, so that only one write is in flight.
	renewMu sync.Mutex

	mu     sync.Mutex
	member Member
	// state is a state of the chart Member.
	state chart.State
	// version is the row version of the last write; 0 before the first write.
	version tablestore.Version
	// validUntil is when the lease expires, on this host's monotonic clock.
	validUntil time.Time
}

// NewLease returns a lease that isn't valid before its first renewal.
func NewLease(table tablestore.Table, m Member) *Lease {
	return &Lease{table: table, member: m, state: memberChart.Initial()}
}

// Member returns this member in its present state.
func (l *Lease) Member() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.member.WithState(string(l.state))
}

// ValidFor reports whether the lease stays valid for at least the given time. It reads
// the clock, so that a process that was paused detects an expired lease at once.
func (l *Lease) ValidFor(atLeast time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(atLeast).Before(l.validUntil)
}

// Drain makes the next renewal mark the member as leaving.
func (l *Lease) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyEvent("Drain")
}

// Rejoin lets a fenced member join again as another instance, after it has released
// what it owned.
func (l *Lease) Rejoin(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.member = l.member.WithInstance(instance)
}

// Renew writes the row and extends the lease to the given duration after the start of
// the write. It fails with ErrFenced or ErrReplaced if another member or process has
// taken over the row, and then keeps failing until Rejoin is called.
func (l *Lease) Renew(ctx context.Context, duration time.Duration) error {
	l.renewMu.Lock()
	defer l.renewMu.Unlock()
	next, version, ok := l.prepareRenewal(duration)
	if !ok {
		return errors.Trace(ErrFenced)
	}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	sentAt := time.Now()
	version, err = l.write(ctx, next.ID, value, version)
	if err != nil {
		l.recordFailure(err)
		return err
	}
	l.recordRenewal(next, version, sentAt)
	return nil
}

// prepareRenewal returns the row to write and the version that it replaces; ok is false
// if the member is gone, or was fenced and has not rejoined. Every attempt has a new
// Beat: otherwise the row of an earlier attempt could be mistaken for that of this one,
// and the lease would last longer on this host than on its observers.
func (l *Lease) prepareRenewal(duration time.Duration) (next Member, version tablestore.Version, ok bool) {
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
	return l.member.WithState(state).WithLease(duration), l.version, true
}

// write writes the row and returns its new version. The first write of an instance
// replaces any row that an earlier instance of the same host left behind. If the
// response of the write was lost, but the row is found as written, the write counts as
// successful.
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

// classifyConflict returns the error for a row that isn't the one this instance wrote
// last: ErrFenced, ErrReplaced, or err if the row is of an earlier renewal of this
// instance that took effect although its response was lost.
func (l *Lease) classifyConflict(row tablestore.Row, err error) (tablestore.Version, error) {
	m, decodeErr := Decode(row.Value)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case decodeErr != nil || m.Instance == l.member.Instance && m.State == "Fenced":
		return 0, errors.WithType(errors.Errorf("member no longer holds row %s", row.Key), ErrFenced)
	case m.Instance == l.member.Instance:
		l.version = row.Version
		return 0, err
	case l.version == 0 || m.State == "Fenced" || m.State == "Gone":
		return 0, errors.WithType(errors.Errorf("member no longer holds row %s", row.Key), ErrFenced)
	default:
		return 0, errors.WithType(errors.Errorf("row %s is held by another process", row.Key), ErrReplaced)
	}
}

func (l *Lease) recordRenewal(m Member, version tablestore.Version, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.member, l.version, l.validUntil = m, version, sentAt.Add(m.Lease)
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

// Release marks the row as gone, so that other members can take over without waiting
// for the lease to expire.
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
