package scheduler

import (
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

// pagePrefix is the key prefix of rows that hold a page of jobs. Earlier versions wrote
// one row per job, with the job's hexadecimal ID as its key.
const pagePrefix = "p"

// jobPages stores the jobs of a cell as submitted by their callers. Jobs accepted
// together share a row, so that a slow store records a burst in one transaction. A row is
// removed once all of its jobs are closed: final, with no runs left. Use newJobPages to
// create one.
type jobPages struct {
	part string
	// policies holds the policies on which stored jobs rely.
	policies policyTable
	// unwritten holds the jobs that are not in any row yet.
	unwritten []workload.Job
	// rowKeys holds the key of the row of each job. Closed jobs stay until the row is
	// removed, because the next owner finds them until then.
	rowKeys map[string]string
	// pages holds the rows by key.
	pages map[string]*jobPage
	// removals holds the keys of the rows to remove.
	removals []string
}

// jobPage describes one row.
type jobPage struct {
	jobs []string
	// open holds the jobs that are not closed.
	open map[string]bool
	// queues holds the queue of each job that relies on its row in the table of policies.
	queues []string
}

func newJobPages(part string) *jobPages {
	return &jobPages{part: part, policies: newPolicyTable(part), rowKeys: map[string]string{}, pages: map[string]*jobPage{}}
}

// addJob adds a job that is to be written.
func (p *jobPages) addJob(j workload.Job) { p.unwritten = append(p.unwritten, j) }

// abandon removes a job that has not been written yet.
func (p *jobPages) abandon(id string) {
	p.unwritten = slices.DeleteFunc(p.unwritten, func(j workload.Job) bool { return j.ID == id })
}

// hasRow reports whether the job is in a stored row, or in one that is being written.
func (p *jobPages) hasRow(id string) bool { return p.rowKeys[id] != "" }

// markClosed notes that a job is final and has no runs left. A job that has not been
// written yet is dropped: if a transaction both wrote and removed a row, the store might
// keep it.
func (p *jobPages) markClosed(id string) {
	key := p.rowKeys[id]
	page := p.pages[key]
	if page == nil {
		p.abandon(id)
		return
	}
	if !page.open[id] {
		return
	}
	delete(page.open, id)
	if len(page.open) == 0 {
		p.removals = append(p.removals, key)
	}
}

// drainWrites returns the rows of the jobs that have not been written yet.
func (p *jobPages) drainWrites() ([]ledger.Change, error) {
	var changes []ledger.Change
	for _, page := range groupIntoPages(p.unwritten) {
		var queues []string
		for i, j := range page {
			compacted, relies, policy, err := p.policies.compact(j)
			if err != nil {
				return nil, err
			}
			if relies {
				queues = append(queues, j.Queue)
			}
			page[i], changes = compacted, append(changes, policy...)
		}
		value, err := codec.Marshal(page)
		if err != nil {
			return nil, errors.Annotatef(err, "encoding page of job %s", page[0].ID)
		}
		key := pagePrefix + page[0].ID
		changes = append(changes, ledger.Change{Writes: []ledger.Row{{Table: ledger.JobTable, Part: p.part, Key: key, Value: value}}})
		p.addRow(key, page, queues)
	}
	p.unwritten = nil
	return changes, nil
}

// groupIntoPages distributes jobs over rows. A long-lived job gets a row of its own;
// otherwise it would retain the jobs that were accepted with it.
func groupIntoPages(jobs []workload.Job) [][]workload.Job {
	var pages [][]workload.Job
	shared, size := -1, 0
	for _, j := range jobs {
		if isLongLived(j) {
			pages = append(pages, []workload.Job{j})
			continue
		}
		size += estimateSize(j)
		if shared < 0 || size > pageBytes {
			pages = append(pages, nil)
			shared, size = len(pages)-1, estimateSize(j)
		}
		pages[shared] = append(pages[shared], j)
	}
	return pages
}

// drainRemovals returns the removal of up to limit rows whose jobs are all closed, and of the
// policies on which no job relies any more.
func (p *jobPages) drainRemovals(limit int) []ledger.Change {
	var changes []ledger.Change
	n := min(len(p.removals), limit)
	for _, key := range p.removals[:n] {
		changes = append(changes, ledger.Change{Removes: []ledger.Row{{Table: ledger.JobTable, Part: p.part, Key: key}}})
		for _, id := range p.pages[key].jobs {
			delete(p.rowKeys, id)
		}
		p.removePage(key)
	}
	p.removals = p.removals[n:]
	return append(changes, p.policies.drainRemovals()...)
}

// reject forgets a row that the store does not accept, and returns its jobs.
func (p *jobPages) reject(key string) []string {
	page := p.pages[key]
	if page == nil {
		return nil
	}
	for _, id := range page.jobs {
		delete(p.rowKeys, id)
	}
	p.removePage(key)
	p.removals = slices.DeleteFunc(p.removals, func(other string) bool { return other == key })
	return page.jobs
}

// removePage forgets a row, on whose policies its jobs do not rely any more.
func (p *jobPages) removePage(key string) {
	for _, queue := range p.pages[key].queues {
		p.policies.release(queue)
	}
	delete(p.pages, key)
}

// load reads a row that an earlier owner wrote, and returns its jobs with their policies, which have
// been loaded before.
func (p *jobPages) load(r ledger.Row) ([]workload.Job, error) {
	var jobs []workload.Job
	if r.Key != "" && r.Key[:1] == pagePrefix {
		if err := codec.Unmarshal(r.Value, &jobs); err != nil {
			return nil, errors.Annotatef(err, "row %s of table %s", r.Key, ledger.JobTable)
		}
	} else {
		jobs = make([]workload.Job, 1)
		if err := codec.Unmarshal(r.Value, &jobs[0]); err != nil {
			return nil, errors.Annotatef(err, "row %s of table %s", r.Key, ledger.JobTable)
		}
	}
	var queues []string
	for i, j := range jobs {
		expanded, relies := p.policies.expand(j)
		if relies {
			queues = append(queues, j.Queue)
		}
		jobs[i] = expanded
	}
	p.addRow(r.Key, jobs, queues)
	return jobs, nil
}

// addRow notes the row with a key, its jobs and the queues on whose policies they rely.
func (p *jobPages) addRow(key string, jobs []workload.Job, queues []string) {
	page := &jobPage{open: map[string]bool{}, queues: queues}
	p.pages[key] = page
	for _, j := range jobs {
		p.rowKeys[j.ID] = key
		page.jobs = append(page.jobs, j.ID)
		page.open[j.ID] = true
	}
}

// isLongLived reports whether a job may stay for long: it has a schedule or daemon tasks.
func isLongLived(j workload.Job) bool {
	return j.Schedule.Count > 0 || slices.ContainsFunc(j.Steps, func(s workload.Step) bool { return s.Daemon })
}

// maxStepBytes bounds the encoded size of a step without its strings, and maxPolicyBytes that of a
// policy.
const (
	maxStepBytes   = 128
	maxPolicyBytes = 96
)

// estimateSize estimates the encoded size of a job. The result tends to be too high.
func estimateSize(j workload.Job) int {
	size := len(j.Spec) + len(j.Organisation) + j.Policy.Bytes() + 2*maxStepBytes + maxPolicyBytes
	for _, s := range j.Steps {
		size += maxStepBytes + 9*len(s.After) + len(s.Requires) + len(s.Affinity) + len(s.Image)
	}
	return size
}
