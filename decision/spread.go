package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// candidate is the emptiest worker of a rack with capacity for a replica.
type candidate struct {
	view   *view
	worker int
	// freeShare is the dominant share of the worker's capacity left free.
	freeShare float64
}

// chooseSpread chooses workers for the waiting replicas of a service, in one
// pass over the cell.
func (c *Core) chooseSpread(j *job) ([]choice, blockCause) {
	if !j.allotment.allows(j.size) {
		return nil, noQuota
	}
	counts := c.replicaCountsOf(j)
	f := c.capacityFilterFor(j)
	candidates := c.spreadCandidates(j, f)
	var choices []choice
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			continue
		}
		if !j.allotment.allows(j.size) {
			return choices, noQuota
		}
		c.scanned += int64(len(candidates))
		k := c.bestCandidate(candidates, counts)
		for k >= 0 && !f.takeSpare(candidates[k].view) {
			candidates = slices.Delete(candidates, k, k+1)
			k = c.bestCandidate(candidates, counts)
		}
		if k < 0 {
			return choices, noCapacity
		}
		p := &candidates[k]
		c.scanned += int64(len(p.view.digest.Workers))
		choices = append(choices, c.assign(j, i, p.view, p.worker))
		counts.add(p.view)
		if !p.findWorker(j, f) {
			candidates[k] = candidates[len(candidates)-1]
			candidates = candidates[:len(candidates)-1]
		}
	}
	return choices, ready
}

// spreadCandidates returns one candidate for each rack with capacity.
func (c *Core) spreadCandidates(j *job, f capacityFilter) []candidate {
	candidates := make([]candidate, 0, len(c.cell.views))
	for _, v := range c.cell.views {
		p := candidate{view: v}
		c.scanned += 1 + int64(len(v.digest.Workers))
		if v.digest.Rack != j.avoidRack && j.size.Fits(v.maxFree) && p.findWorker(j, f) {
			candidates = append(candidates, p)
		}
	}
	return candidates
}

// findWorker sets the emptiest worker of the rack and reports whether there is
// one.
func (p *candidate) findWorker(j *job, f capacityFilter) bool {
	worker, freeShare, ok := p.view.worstFit(j.size, f)
	p.worker, p.freeShare = worker, freeShare
	return ok
}

// bestCandidate returns the index of the candidate with the lowest rank, or -1
// if there is none. Ties are broken by the name of the rack.
func (c *Core) bestCandidate(candidates []candidate, s replicaCounts) int {
	best, least := -1, 0.0
	for i := range candidates {
		p := &candidates[i]
		rank := s.rank(p.view) - p.freeShare
		if p.view.digest.Region != c.options.Region {
			rank += foreignRegionPenalty
		}
		switch {
		case best < 0, rank < least, rank == least && p.view.digest.Rack < candidates[best].view.digest.Rack:
			best, least = i, rank
		}
	}
	return best
}

// worstFit returns the worker with the largest dominant share of its capacity
// left free, and that share; ok is false if the job may use no worker.
func (v *view) worstFit(size task.Size, f capacityFilter) (worker int, freeShare float64, ok bool) {
	for i := range v.digest.Workers {
		w := &v.digest.Workers[i]
		if !size.Fits(v.free[i]) || !f.allows(v, i) {
			continue
		}
		share := v.free[i].Minus(size).DominantShare(w.Capacity)
		if !ok || share > freeShare {
			worker, freeShare, ok = i, share, true
		}
	}
	return worker, freeShare, ok
}

// replicaCounts holds the number of replicas of a service by availability zone
// and by rack.
type replicaCounts struct {
	zones, racks map[string]int
}

func (c *Core) replicaCountsOf(j *job) replicaCounts {
	s := replicaCounts{zones: map[string]int{}, racks: map[string]int{}}
	for i := range j.tasks {
		a := &j.tasks[i]
		if a.state == attemptChart.Initial() || a.state == "Done" {
			continue
		}
		if v := c.cell.viewByName(a.rack); v != nil {
			s.add(v)
		}
	}
	return s
}

func (s replicaCounts) add(v *view) {
	s.zones[v.digest.Zone]++
	s.racks[v.digest.Rack]++
}

// rank is lowest for the zone with the fewest replicas, and within it for the
// rack with the fewest.
func (s replicaCounts) rank(v *view) float64 {
	return float64(s.zones[v.digest.Zone])*1000 + float64(s.racks[v.digest.Rack])*10
}
