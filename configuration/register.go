package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/timer"
)

var changeChart = chart.MustLoad("Configuration")

// retryInterval is the pause between two looks at a write whose answer was lost.
const retryInterval = 50 * time.Millisecond

// Table is the part of the platform's table that a register needs.
type Table interface {
	Get(ctx context.Context, key string) (tablestore.Row, error)
	Put(ctx context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error)
}

// Register is the row of the table. Its methods are safe for concurrent use.
type Register struct {
	Table Table
}

// ConflictError tells that the operator did not see the configuration that
// stands. The change has no effect and never will.
type ConflictError struct {
	// Current is what stands.
	Current Configuration
	// Differences leads from what stands to what the operator wanted.
	Differences []Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "the configuration has changed since the version that was seen"
}

// ErrUnknown tells that a change may or may not have been accepted.
const ErrUnknown = errors.ConstError("outcome of the change is not known")

// Proposal is one change on its way into the row. Use Propose to make one.
type Proposal struct {
	// State is a state of the chart Configuration.
	State chart.State
	// Accepted is the configuration with its new version once State is
	// Accepted.
	Accepted Configuration
	// Err tells why State is Rejected.
	Err error
}

// advance moves the proposal along the chart.
func (p *Proposal) advance(e chart.Event) {
	if next, err := changeChart.Next(p.State, e); err == nil {
		p.State = next
	}
}

func (p *Proposal) reject(event chart.Event, err error) {
	p.advance(event)
	p.Err = err
}

// MarkApplied notes that every active member has applied the accepted version.
func (p *Proposal) MarkApplied() { p.advance("Seen") }

// Read returns the configuration that stands.
func (r Register) Read(ctx context.Context) (Configuration, error) {
	c, _, err := r.read(ctx, Decode)
	return c, err
}

func (r Register) read(ctx context.Context, decode func([]byte) (Configuration, error)) (Configuration, tablestore.Version, error) {
	row, err := r.Table.Get(ctx, Key)
	if err != nil || row.Version == 0 {
		return Configuration{}, 0, err
	}
	c, err := decode(row.Value)
	return c, row.Version, err
}

// Propose replaces the configuration that has the version of the proposed one.
// The result is Accepted or Rejected; an error other than those in the result
// tells that the platform gave no answer, and ErrUnknown that the change may
// still prove to be accepted.
func (r Register) Propose(ctx context.Context, proposed Configuration, operator string) (*Proposal, error) {
	p := &Proposal{State: changeChart.Initial()}
	if err := proposed.Check(); err != nil {
		p.reject("Reject", err)
		return p, nil
	}
	p.advance("Check")
	// A field of a later release would be lost by the write, so it is an error.
	current, version, err := r.read(ctx, Parse)
	if err != nil {
		return nil, errors.Annotate(err, "configuration was not read")
	}
	if current.Version != proposed.Version {
		return p, r.rejectConflict(p, current, proposed)
	}
	change := Change{ID: uuid.NewString(), Version: current.Version + 1, Operator: operator, At: time.Now().UTC()}
	proposed.Changes = current.Changes
	next := proposed.withChange(change)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(value) > MaxSize {
		p.reject("Conflict", errors.NotValidf("configuration of %d bytes (want at most %d)", len(value), MaxSize))
		return p, nil
	}
	return p, r.write(ctx, p, next, value, version)
}

// write writes until the outcome is known. The same value is written over the
// same version each time, so that it takes effect at most once.
func (r Register) write(ctx context.Context, p *Proposal, next Configuration, value []byte, version tablestore.Version) error {
	mayBeWritten := false
	for {
		_, err := r.Table.Put(ctx, Key, value, version)
		switch {
		case err == nil:
			p.advance("Stored")
			p.Accepted = next
			return nil
		case errors.Is(err, tablestore.ErrConflict):
			return r.resolveConflict(ctx, p, next)
		case errors.Is(err, tablestore.ErrUnavailable) && !mayBeWritten:
			return errors.Annotate(err, "configuration was not written")
		case errors.Is(err, tablestore.ErrUnknown):
			mayBeWritten = true
		}
		if !timer.Sleep(ctx, retryInterval) {
			return errors.WithType(errors.Annotate(err, "configuration"), ErrUnknown)
		}
	}
}

// resolveConflict reads the row after a conflict: an earlier try of the same write may
// be what it conflicts with.
func (r Register) resolveConflict(ctx context.Context, p *Proposal, next Configuration) error {
	for {
		current, err := r.Read(ctx)
		if err == nil {
			return r.concludeWrite(p, current, next)
		}
		if !timer.Sleep(ctx, retryInterval) {
			return errors.WithType(errors.Annotate(err, "configuration"), ErrUnknown)
		}
	}
}

// concludeWrite tells from the changes of the row whether a write took effect. If the
// row has moved on further than it remembers, that cannot be told.
func (r Register) concludeWrite(p *Proposal, current, next Configuration) error {
	change := next.Changes[len(next.Changes)-1]
	if _, ok := current.changeByID(change.ID); ok {
		p.advance("Stored")
		p.Accepted = next
		return nil
	}
	if current.Version >= change.Version+maxChanges {
		return errors.WithType(errors.New("configuration has moved on"), ErrUnknown)
	}
	return r.rejectConflict(p, current, next)
}

func (r Register) rejectConflict(p *Proposal, current, wanted Configuration) error {
	differences, err := Diff(current, wanted)
	if err != nil {
		return errors.Trace(err)
	}
	if p.State == changeChart.Initial() {
		p.advance("Check")
	}
	p.reject("Conflict", &ConflictError{Current: current, Differences: differences})
	return nil
}

// Edit changes one field of whatever stands. It is tried again when the row
// has changed elsewhere, and rejected when the field itself has changed: then
// another operator was faster.
func (r Register) Edit(ctx context.Context, operator string, edit func(Configuration) Configuration) (*Proposal, error) {
	var firstDifferences []Difference
	for try := 0; ; try++ {
		current, err := r.Read(ctx)
		if err != nil {
			return nil, errors.Annotate(err, "configuration was not read")
		}
		wanted := edit(current)
		differences, err := Diff(current, wanted)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(differences) == 0 {
			return unchangedProposal(current), nil
		}
		if try > 0 && !sameDifferences(firstDifferences, differences) {
			p := &Proposal{State: changeChart.Initial()}
			return p, r.rejectConflict(p, current, wanted)
		}
		firstDifferences = differences
		p, err := r.Propose(ctx, wanted, operator)
		var conflict *ConflictError
		if err != nil || !errors.As(p.Err, &conflict) || !timer.Sleep(ctx, retryInterval) {
			return p, err
		}
	}
}

// unchangedProposal returns the accepted proposal of what stands already.
func unchangedProposal(current Configuration) *Proposal {
	p := &Proposal{State: changeChart.Initial(), Accepted: current}
	p.advance("Check")
	p.advance("Stored")
	return p
}

func sameDifferences(a, b []Difference) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Path != b[i].Path || string(a[i].From) != string(b[i].From) || string(a[i].To) != string(b[i].To) {
			return false
		}
	}
	return true
}
