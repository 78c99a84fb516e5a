package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// place is a rack's emptiest worker that has room for a replica.
type place struct {
	view   *view
	worker int
	// rest is the dominant share that is left free.
	rest float64
}

// chooseSpread chooses workers for the waiting replicas of a service, in one
// pass over the cell.
func (c *Core) chooseSpread(j *job) ([]choice, cause) {
	if !j.allotment.allows(j.size) {
		return nil, noQuota
	}
	spread := c.spreadOf(j)
	r := c.roomFor(j)
	places := c.places(j, r)
	var choices []choice
	for i := range j.tasks {
		if j.tasks[i].state != attemptChart.Initial() {
			continue
		}
		if !j.allotment.allows(j.size) {
			return choices, noQuota
		}
		c.looked += int64(len(places))
		k := c.lowest(places, spread)
		for k >= 0 && !r.spend(places[k].view) {
			places = slices.Delete(places, k, k+1)
			k = c.lowest(places, spread)
		}
		if k < 0 {
			return choices, noRoom
		}
		p := &places[k]
		c.looked += int64(len(p.view.digest.Workers))
		choices = append(choices, c.choose(j, i, p.view, p.worker))
		spread.add(p.view)
		if !p.find(j, r) {
			places[k] = places[len(places)-1]
			places = places[:len(places)-1]
		}
	}
	return choices, ready
}

// places returns one place for each rack with room.
func (c *Core) places(j *job, r room) []place {
	places := make([]place, 0, len(c.cell.views))
	for _, v := range c.cell.views {
		p := place{view: v}
		c.looked += 1 + int64(len(v.digest.Workers))
		if v.digest.Rack != j.avoid && j.size.Fits(v.top) && p.find(j, r) {
			places = append(places, p)
		}
	}
	return places
}

// find looks for the emptiest worker of the rack.
func (p *place) find(j *job, r room) bool {
	worker, rest, ok := p.view.worstFit(j.size, r)
	p.worker, p.rest = worker, rest
	return ok
}

// lowest returns the index of the place of the lowest rank, or -1 if there is
// none. Ties go to the name of the rack.
func (c *Core) lowest(places []place, s spread) int {
	best, least := -1, 0.0
	for i := range places {
		p := &places[i]
		rank := s.rank(p.view) - p.rest
		if p.view.digest.Region != c.options.Region {
			rank += foreignRegion
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
func (v *view) worstFit(size task.Size, r room) (worker int, rest float64, ok bool) {
	for i := range v.digest.Workers {
		w := &v.digest.Workers[i]
		if !size.Fits(v.free[i]) || !r.has(v, i) {
			continue
		}
		left := v.free[i].Minus(size).DominantShare(w.Capacity)
		if !ok || left > rest {
			worker, rest, ok = i, left, true
		}
	}
	return worker, rest, ok
}

// spread counts the replicas of a service by availability zone and by rack.
type spread struct {
	zones, racks map[string]int
}

func (c *Core) spreadOf(j *job) spread {
	s := spread{zones: map[string]int{}, racks: map[string]int{}}
	for i := range j.tasks {
		a := &j.tasks[i]
		if a.state == attemptChart.Initial() || a.state == "Done" {
			continue
		}
		if v := c.cell.named(a.rack); v != nil {
			s.add(v)
		}
	}
	return s
}

func (s spread) add(v *view) {
	s.zones[v.digest.Zone]++
	s.racks[v.digest.Rack]++
}

// rank is lowest for the zone with the fewest replicas, and within it for the
// rack with the fewest.
func (s spread) rank(v *view) float64 {
	return float64(s.zones[v.digest.Zone])*1000 + float64(s.racks[v.digest.Rack])*10
}
