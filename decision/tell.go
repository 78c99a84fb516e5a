package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of a summary.
const (
	// tellPause is the least time between two summaries.
	tellPause = time.Second
	// needTime is how long work counts as in need after it last had no room. It
	// is longer than a pause after a refusal.
	needTime = 2 * time.Second
	// tellNeeds, tellUses and tellBarred bound the entries of a summary.
	tellNeeds  = 4
	tellUses   = 4
	tellBarred = 4
	tellRacks  = 16
)

// needKey names a need of a summary.
type needKey struct {
	class class
	team  *team
}

// noted is work that had no room.
type noted struct {
	// size is that of the smallest task.
	size task.Size
	at   time.Time
	// tasks counts those that were refused since the last summary.
	tasks int
}

// shareTick tells the other members what has changed, and looks again at what
// they have told.
func (c *Core) shareTick() {
	o := &c.others
	c.unblock(func(l *line) bool { return l.cause == yields })
	c.releaseIfDone()
	c.expireClaims()
	c.noteNeeds()
	if c.now.Sub(o.looked) < tellPause {
		return
	}
	o.looked = c.now
	if len(o.members) > 0 {
		c.avoid()
	}
	if len(o.needs) > 0 && c.now.Sub(o.levelled) >= tellPause {
		c.findLevels()
	}
	s := c.summary()
	o.forgetNoted(c.now)
	renew := s.Reserved != nil && c.now.Sub(o.toldAt) >= claimRenewal
	if s.sameAs(o.told) && !renew {
		return
	}
	o.toldAt = c.now
	s.Sequence = max(o.told.Sequence+1, uint64(c.now.UnixNano()))
	o.told = s
	c.emit(SendSummary{Summary: s})
}

// forgetNoted forgets what has found room for a while, and begins to count anew.
func (o *others) forgetNoted(now time.Time) {
	for key, n := range o.noted {
		if now.Sub(n.at) >= needTime {
			delete(o.noted, key)
			continue
		}
		n.tasks = 0
		o.noted[key] = n
	}
}

// noteNeeds notes the lines that wait for room now.
func (c *Core) noteNeeds() {
	for k := range c.queue {
		for _, l := range c.queue[k].lines {
			if l.wantsRoom() {
				c.noteNeed(l.class, l.team, l.size, 0)
			}
		}
	}
}

// noteNeed notes that work had no room. It counts for a while, so that work which
// is refused again and again, and waits outside of the queue in between, counts
// as well.
func (c *Core) noteNeed(k class, t *team, size task.Size, tasks int) {
	key := needKey{class: k, team: t}
	known, ok := c.others.noted[key]
	if ok && known.size.DominantShare(c.cell.total) <= size.DominantShare(c.cell.total) {
		size = known.size
	}
	if c.others.noted == nil {
		c.others.noted = map[needKey]noted{}
	}
	c.others.noted[key] = noted{size: size, at: c.now, tasks: known.tasks + tasks}
}

// sameAs reports whether two summaries differ in their sequence at most.
func (s Summary) sameAs(o Summary) bool {
	return slices.Equal(s.Needs, o.Needs) && slices.Equal(s.Uses, o.Uses) && slices.Equal(s.Barred, o.Barred) &&
		s.Reserved.sameAs(o.Reserved)
}

// sameAs reports whether two reservations are of the same workers for the same job.
func (r *Reservation) sameAs(o *Reservation) bool {
	if r == nil || o == nil {
		return r == o
	}
	return r.Since == o.Since && slices.Equal(r.Racks, o.Racks)
}

func (c *Core) summary() Summary {
	return Summary{Needs: c.needs(), Uses: c.uses(), Barred: c.barredNames(), Reserved: c.reserved()}
}

// needs returns the neediest teams whose work had no room since the last summary.
func (c *Core) needs() []Need {
	keys := slices.SortedFunc(maps.Keys(c.others.noted), func(a, b needKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team.share, b.team.share), cmp.Compare(a.team.name, b.team.name))
	})
	var needs []Need
	for _, key := range keys[:min(len(keys), tellNeeds)] {
		needs = append(needs, Need{Team: key.team.name, Class: int(key.class), Size: c.others.noted[key].size,
			Used: int64(key.team.part(c.cell.total) * shareUnit), Tasks: max(1, key.team.waiting+c.others.noted[key].tasks)})
	}
	return needs
}

// uses returns what the teams take that have work at several members, those
// first that take most.
func (c *Core) uses() []TeamUsage {
	var uses []TeamUsage
	for _, t := range c.teams {
		if len(t.partitions) > 1 && !t.used.IsZero() {
			uses = append(uses, TeamUsage{Team: t.name, Used: t.used})
		}
	}
	slices.SortFunc(uses, func(a, b TeamUsage) int {
		return cmp.Or(cmp.Compare(b.Used.DominantShare(c.cell.total), a.Used.DominantShare(c.cell.total)), cmp.Compare(a.Team, b.Team))
	})
	uses = uses[:min(len(uses), tellUses)]
	slices.SortFunc(uses, func(a, b TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return uses
}

func (c *Core) barredNames() []string {
	var names []string
	for _, h := range c.barred {
		names = append(names, h.worker)
	}
	slices.Sort(names)
	return names[:min(len(names), tellBarred)]
}
