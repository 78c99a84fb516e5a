package scheduler

import (
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

// progressTable holds the progress of the jobs in parts, so that that of a large job takes
// several rows and a transaction writes only what has changed. The first part of a job has
// the job's ID as its key, and the others have a dot and their number behind it.
type progressTable struct {
	table pagedTable[cell.Progress]
	// laterParts holds the numbers of the parts after the first, of the jobs that have any.
	laterParts map[string]map[int]bool
}

// partKey returns the key of a part of the progress of a job.
func partKey(id string, number int) string {
	if number == 0 {
		return id
	}
	return id + "." + strconv.Itoa(number)
}

// parsePartKey reverses partKey.
func parsePartKey(key string) (id string, number int, err error) {
	id, suffix, divided := strings.Cut(key, ".")
	if !divided {
		return id, 0, nil
	}
	number, err = strconv.Atoi(suffix)
	if err != nil || number <= 0 {
		return "", 0, errors.NotValidf("part %q", key)
	}
	return id, number, nil
}

func (t *progressTable) set(j workload.Job, p cell.Progress) {
	if len(t.laterParts[j.ID]) == 0 && p.IsSinglePart(j) {
		t.table.set(j.ID, p)
		return
	}
	parts := p.Parts(j)
	for number := range t.laterParts[j.ID] {
		if _, ok := parts[number]; !ok {
			t.table.remove(partKey(j.ID, number))
			delete(t.laterParts[j.ID], number)
		}
	}
	for number, part := range parts {
		t.notePart(j.ID, number)
		t.table.set(partKey(j.ID, number), part)
	}
}

// notePart notes that a job has a part.
func (t *progressTable) notePart(id string, number int) {
	if number == 0 {
		return
	}
	if t.laterParts == nil {
		t.laterParts = map[string]map[int]bool{}
	}
	if t.laterParts[id] == nil {
		t.laterParts[id] = map[int]bool{}
	}
	t.laterParts[id][number] = true
}

// get returns the progress of a job, or false if none is recorded.
func (t *progressTable) get(id string) (cell.Progress, bool) {
	p, ok := t.table.get(id)
	if len(t.laterParts[id]) == 0 {
		return p, ok
	}
	parts := map[int]cell.Progress{}
	if ok {
		parts[0] = p
	}
	for number := range t.laterParts[id] {
		if p, ok := t.table.get(partKey(id, number)); ok {
			parts[number] = p
		}
	}
	return cell.JoinParts(parts), len(parts) > 0
}

func (t *progressTable) remove(id string) {
	t.table.remove(id)
	for number := range t.laterParts[id] {
		t.table.remove(partKey(id, number))
	}
	delete(t.laterParts, id)
}

func (t *progressTable) isClean() bool { return t.table.isClean() }

func (t *progressTable) drainChanges(part string) ([]ledger.Change, error) {
	return t.table.drainChanges(part)
}

// load reads all rows that earlier owners wrote.
func (t *progressTable) load(rows []ledger.Row) error {
	if err := t.table.load(rows); err != nil {
		return err
	}
	for key, e := range t.table.entries {
		id, number, err := parsePartKey(key)
		if err != nil {
			return errors.Annotatef(err, "row %s of table %s", e.page, t.table.table)
		}
		t.notePart(id, number)
	}
	return nil
}

// reject notes that the store does not accept a page, and returns the jobs whose changes are
// not recorded.
func (t *progressTable) reject(key string) []string {
	return jobsOfParts(slices.Values(t.table.reject(key)))
}

// rejectedJobs returns the jobs of which a part is not recorded any more.
func (t *progressTable) rejectedJobs() []string { return jobsOfParts(maps.Keys(t.table.rejected)) }

// jobsOfParts returns the jobs of the parts with the given keys.
func jobsOfParts(keys iter.Seq[string]) []string {
	var jobs []string
	for k := range keys {
		if id, _, err := parsePartKey(k); err == nil {
			jobs = append(jobs, id)
		}
	}
	return jobs
}
