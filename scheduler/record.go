package scheduler

import (
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

// finished is what is kept of a job that is final.
type finished struct {
	State workload.State `cbor:"1,keyasint"`
	// At is when the job became final, in milliseconds since 1970.
	At int64 `cbor:"2,keyasint"`
}

// outbox gathers the changes of jobs for the next transaction.
type outbox struct {
	order   []string
	changes map[string]cell.Change
	// removals are jobs whose final state need not be kept any more.
	removals []string
}

// add takes a change; of one job only the last counts.
func (o *outbox) add(c cell.Change) {
	if o.changes == nil {
		o.changes = map[string]cell.Change{}
	}
	earlier, known := o.changes[c.Job.ID]
	if !known {
		o.order = append(o.order, c.Job.ID)
	}
	c.New = c.New || earlier.New
	o.changes[c.Job.ID] = c
}

func (o *outbox) empty() bool { return len(o.order) == 0 && len(o.removals) == 0 }

// take returns the rows to write, and empties the outbox.
func (o *outbox) take(part string, wall int64) ([]ledger.Change, error) {
	changes := make([]ledger.Change, 0, len(o.order))
	for _, id := range o.order {
		c, err := rowsOf(part, wall, o.changes[id])
		if err != nil {
			return nil, errors.Annotatef(err, "job %s", id)
		}
		changes = append(changes, c)
	}
	for _, id := range o.removals {
		changes = append(changes, ledger.Change{Removes: []ledger.Row{{Table: ledger.FinishedTable, Part: part, Key: id}}})
	}
	*o = outbox{}
	return changes, nil
}

func rowsOf(part string, wall int64, c cell.Change) (ledger.Change, error) {
	id := c.Job.ID
	if c.Progress.State.Final() {
		value, err := codec.Marshal(finished{State: c.Progress.State, At: wall})
		if err != nil {
			return ledger.Change{}, errors.Trace(err)
		}
		rows := ledger.Change{Writes: []ledger.Row{{Table: ledger.FinishedTable, Part: part, Key: id, Value: value}}}
		if !c.New {
			rows.Removes = []ledger.Row{{Table: ledger.JobTable, Part: part, Key: id}, {Table: ledger.ProgressTable, Part: part, Key: id}}
		}
		return rows, nil
	}
	value, err := codec.Marshal(c.Progress)
	if err != nil {
		return ledger.Change{}, errors.Trace(err)
	}
	rows := ledger.Change{Writes: []ledger.Row{{Table: ledger.ProgressTable, Part: part, Key: id, Value: value}}}
	if c.New {
		job, err := codec.Marshal(c.Job)
		if err != nil {
			return ledger.Change{}, errors.Trace(err)
		}
		rows.Writes = append(rows.Writes, ledger.Row{Table: ledger.JobTable, Part: part, Key: id, Value: job})
	}
	return rows, nil
}
