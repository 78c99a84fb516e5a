package scheduler

import (
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// maxPolicyKeyBytes is the store's limit for a key, which is the name of the queue.
	maxPolicyKeyBytes = 200
	// maxPolicyRowBytes bounds the row of a policy.
	maxPolicyRowBytes = 4 << 10
	// maxPolicyRows bounds the rows that one transaction writes, and those that it removes. Jobs of
	// further queues have their policies in their own records.
	maxPolicyRows = 16
)

// policyTable holds the policies of the queues of stored jobs, one for each name of a queue, so that
// the record of a job needs none: a takeover reads all of them. A row is never rewritten, and removed
// after the last job that relies on it. A job that was accepted under another policy of the name has
// it in its own record.
type policyTable struct {
	part string
	rows map[string]*policyRow
	// idle holds the queues of which no job may rely on the row any more.
	idle map[string]bool
	// written is the number of rows that have been written since the last drainRemovals.
	written int
}

// policyRow is the row of a queue.
type policyRow struct {
	policy workload.Policy
	// jobs is the number of jobs in stored rows that rely on the policy.
	jobs int
}

func newPolicyTable(part string) policyTable {
	return policyTable{part: part, rows: map[string]*policyRow{}, idle: map[string]bool{}}
}

// compact returns a job without its policy if the row of its queue has it, and whether the job relies
// on that row. The changes write the row, and must not come after the record of the job.
func (t *policyTable) compact(j workload.Job) (_ workload.Job, relies bool, changes []ledger.Change, _ error) {
	if j.Policy.IsZero() || j.Queue == "" || len(j.Queue) > maxPolicyKeyBytes {
		return j, false, nil, nil
	}
	row := t.rows[j.Queue]
	if row == nil {
		if t.written >= maxPolicyRows {
			return j, false, nil, nil
		}
		value, err := codec.Marshal(j.Policy)
		if err != nil {
			return j, false, nil, errors.Annotatef(err, "encoding policy of queue %s", j.Queue)
		}
		if len(value) > maxPolicyRowBytes {
			return j, false, nil, nil
		}
		row = &policyRow{policy: j.Policy}
		t.rows[j.Queue] = row
		t.written++
		changes = append(changes, ledger.Change{Writes: []ledger.Row{{Table: ledger.PolicyTable, Part: t.part, Key: j.Queue, Value: value}}})
	}
	if !row.policy.EqualTerms(j.Policy) {
		return j, false, nil, nil
	}
	row.jobs++
	j.Policy = workload.Policy{}
	return j, true, changes, nil
}

// expand returns a stored job with its policy, and whether it relies on the row of its queue.
func (t *policyTable) expand(j workload.Job) (_ workload.Job, relies bool) {
	row := t.rows[j.Queue]
	if !j.Policy.IsZero() || row == nil {
		return j, false
	}
	row.jobs++
	j.Policy = row.policy
	return j, true
}

// release notes that the row of a job that relied on the policy of its queue has gone.
func (t *policyTable) release(queue string) {
	row := t.rows[queue]
	if row == nil {
		return
	}
	row.jobs--
	t.idle[queue] = true
}

// drainRemovals returns the removal of the rows on which no job relies. A row that is written in the
// same transaction has a job.
func (t *policyTable) drainRemovals() []ledger.Change {
	var changes []ledger.Change
	for queue := range t.idle {
		if len(changes) >= maxPolicyRows {
			break
		}
		delete(t.idle, queue)
		if row := t.rows[queue]; row != nil && row.jobs == 0 {
			delete(t.rows, queue)
			changes = append(changes, ledger.Change{Removes: []ledger.Row{{Table: ledger.PolicyTable, Part: t.part, Key: queue}}})
		}
	}
	t.written = 0
	return changes
}

// load reads all rows that earlier owners wrote. They come before those of jobs.
func (t *policyTable) load(rows []ledger.Row) error {
	for _, r := range rows {
		row := &policyRow{}
		if err := codec.Unmarshal(r.Value, &row.policy); err != nil {
			return errors.Annotatef(err, "row %s of table %s", r.Key, ledger.PolicyTable)
		}
		t.rows[r.Key], t.idle[r.Key] = row, true
	}
	return nil
}
