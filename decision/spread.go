package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// candidate is a rack's emptiest worker that has room for a replica.
type candidate struct {
	view   *view
	worker int
	// freeShare is the dominant share that is left free.
	freeShare float64
}

// chooseSpread chooses workers for the waiting replicas of a service, in one
// pass over the cell.
func (c *Core) chooseSpread(j *job) ([]choice, blockCause) {
	if !j.allotment.allows(j.size) {
		return nil, noQuota
	}
	spread := c.replicaCountsOf(j)
	r := c.capacityFilterFor(j)
	places := c.spreadCandidates(j, r)
	var choices []choice
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			continue
		}
		if !j.allotment.allows(j.size) {
			return choices, noQuota
		}
		c.scanned += int64(len(places))
		k := c.bestCandidate(places, spread)
		for k >= 0 && !r.takeSpare(places[k].view) {
			places = slices.Delete(places, k, k+1)
			k = c.bestCandidate(places, spread)
		}
		if k < 0 {
			return choices, noCapacity
		}
		p := &places[k]
		c.scanned += int64(len(p.view.digest.Workers))
		choices = append(choices, c.assign(j, i, p.view, p.worker))
		spread.add(p.view)
		if !p.findWorker(j, r) {
			places[k] = places[len(places)-1]
			places = places[:len(places)-1]
		}
	}
	return choices, ready
}

// spreadCandidates returns one place for each rack with room.
func (c *Core) spreadCandidates(j *job, r capacityFilter) []candidate {
	places := make([]candidate, 0, len(c.cell.views))
	for _, v := range c.cell.views {
		p := candidate{view: v}
		c.scanned += 1 + int64(len(v.digest.Workers))
		if v.digest.Rack != j.avoidRack && j.size.Fits(v.maxFree) && p.findWorker(j, r) {
			places = append(places, p)
		}
	}
	return places
}

// findWorker looks for the emptiest worker of the rack.
func (p *candidate) findWorker(j *job, r capacityFilter) bool {
	worker, rest, ok := p.view.worstFit(j.size, r)
	p.worker, p.freeShare = worker, rest
	return ok
}

// bestCandidate returns the index of the place of the lowest rank, or -1 if there is
// none. Ties go to the name of the rack.
func (c *Core) bestCandidate(places []candidate, s replicaCounts) int {
	best, least := -1, 0.0
	for i := range places {
		p := &places[i]
		rank := s.rank(p.view) - p.freeShare
		if p.view.digest.Region != c.options.Region {
			rank += foreignRegionPenalty
		}
		switch {
		case best < 0, rank < least, rank == least && p.view.digest.Rack < places[best].view.digest.Rack:
			best, least = i, rank
		}
	}
	return best
}

// worstFit returns the worker that is left with the largest dominant share of
// its capacity, and that share; ok is false if none has room that may be used.
func (v *view) worstFit(size task.Size, r capacityFilter) (worker int, rest float64, ok bool) {
	for i := range v.digest.Workers {
		w := &v.digest.Workers[i]
		if !size.Fits(v.free[i]) || !r.allows(v, i) {
			continue
		}
		left := v.free[i].Minus(size).DominantShare(w.Capacity)
		if !ok || left > rest {
			worker, rest, ok = i, left, true
		}
	}
	return worker, rest, ok
}

// replicaCounts counts the replicas of a service by availability zone and by rack.
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
