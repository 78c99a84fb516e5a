package scheduler

import (
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

// pagePrefix begins the key of a row that holds a page of jobs. The row of a single job, as
// earlier versions wrote them, has the job's ID as its key, which is hexadecimal.
const pagePrefix = "p"

// jobPages keeps the jobs of a cell as their callers handed them in. Jobs that are accepted
// together share a row, so that a slow store takes those of a burst in one transaction.
// The row is removed once all of its jobs are over. Use newJobPages to make one.
type jobPages struct {
	part string
	// created holds the jobs that are in no row yet.
	created []workload.Job
	// keys holds the key of each job's row, also of jobs that are over, until the row is
	// removed: as long as it is there, the next owner finds them.
	keys map[string]string
	// pages holds the rows by their keys.
	pages map[string]*jobPage
	// removals holds the keys of the rows to remove.
	removals []string
}

// jobPage is one row.
type jobPage struct {
	jobs []string
	// open holds the jobs that are not over.
	open map[string]bool
}

func newJobPages(part string) *jobPages {
	return &jobPages{part: part, keys: map[string]string{}, pages: map[string]*jobPage{}}
}

// create takes a job that is to be written.
func (p *jobPages) create(j workload.Job) { p.created = append(p.created, j) }

// abandon forgets a job that was created and is in no row yet.
func (p *jobPages) abandon(id string) {
	p.created = slices.DeleteFunc(p.created, func(j workload.Job) bool { return j.ID == id })
}

// has reports whether a row has a job, or is about to.
func (p *jobPages) has(id string) bool { return p.keys[id] != "" }

// over notes that a job is final and takes no room any more. One that is in no row yet needs
// none: a transaction that wrote and removed the same row might leave it.
func (p *jobPages) over(id string) {
	key := p.keys[id]
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

// writes returns the rows of the jobs that were created.
func (p *jobPages) writes() ([]ledger.Change, error) {
	var changes []ledger.Change
	for _, page := range paged(p.created) {
		value, err := codec.Marshal(page)
		if err != nil {
			return nil, errors.Annotatef(err, "page of job %s", page[0].ID)
		}
		key := pagePrefix + page[0].ID
		changes = append(changes, ledger.Change{Writes: []ledger.Row{{Table: ledger.JobTable, Part: p.part, Key: key, Value: value}}})
		p.add(key, page)
	}
	p.created = nil
	return changes, nil
}

// paged deals jobs out to rows. A job that may stay for long has a row of its own, or those
// that were accepted with it would stay as well.
func paged(jobs []workload.Job) [][]workload.Job {
	var pages [][]workload.Job
	shared, size := -1, 0
	for _, j := range jobs {
		if lasts(j) {
			pages = append(pages, []workload.Job{j})
			continue
		}
		size += sizeOf(j)
		if shared < 0 || size > pageBytes {
			pages = append(pages, nil)
			shared, size = len(pages)-1, sizeOf(j)
		}
		pages[shared] = append(pages[shared], j)
	}
	return pages
}

// removes returns the rows of which no job is left, up to a number.
func (p *jobPages) removes(most int) []ledger.Change {
	var changes []ledger.Change
	n := min(len(p.removals), most)
	for _, key := range p.removals[:n] {
		changes = append(changes, ledger.Change{Removes: []ledger.Row{{Table: ledger.JobTable, Part: p.part, Key: key}}})
		for _, id := range p.pages[key].jobs {
			delete(p.keys, id)
		}
		delete(p.pages, key)
	}
	p.removals = p.removals[n:]
	return changes
}

// read takes a row that an earlier owner wrote, and returns its jobs.
func (p *jobPages) read(r ledger.Row) ([]workload.Job, error) {
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
	p.add(r.Key, jobs)
	return jobs, nil
}

// add notes a row.
func (p *jobPages) add(key string, jobs []workload.Job) {
	page := &jobPage{open: map[string]bool{}}
	p.pages[key] = page
	for _, j := range jobs {
		p.keys[j.ID] = key
		page.jobs = append(page.jobs, j.ID)
		page.open[j.ID] = true
	}
}

// lasts reports whether a job may stay for long.
func lasts(j workload.Job) bool {
	return j.Schedule.Count > 0 || slices.ContainsFunc(j.Steps, func(s workload.Step) bool { return s.Daemon })
}

// stepBytes is what a step takes in a row at most, but for the names in it.
const stepBytes = 128

// sizeOf estimates how many bytes a job takes in a row, rather too many.
func sizeOf(j workload.Job) int {
	size := len(j.Spec) + 2*stepBytes
	for _, s := range j.Steps {
		size += stepBytes + 9*len(s.After) + len(s.Requires) + len(s.Affinity) + len(s.Image)
	}
	return size
}
