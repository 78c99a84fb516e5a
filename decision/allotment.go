package decision

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
)

// allotment is the part of a team's quota that one partition may use. The parts
// of all partitions add up to the quota, so that no owner needs to know the
// usage of the others.
type allotment struct {
	// quota bounds used; a zero field is no limit, a negative one allows
	// nothing.
	quota task.Size
	// used is the sum of the sizes of the charged attempts.
	used task.Size
	// partCount is the number of partitions that share the team's quota.
	partCount int
}

// noneAllowed is the part of a partition that gets nothing of a limited
// resource, because there are more partitions than units of it.
const noneAllowed = -1

// allotmentOf returns the part of a team's quota for the work of a partition. A
// team in one partition has a single part for all its work. Work outside of the
// team's partitions, because of a move or because it has no partition, has a
// separate part of the smallest size.
func (t *team) allotmentOf(partition string) *allotment {
	parts := max(1, len(t.partitions))
	if parts == 1 {
		partition = ""
	}
	a, ok := t.allotments[partition]
	if !ok {
		a = &allotment{}
		if t.allotments == nil {
			t.allotments = map[string]*allotment{}
		}
		t.allotments[partition] = a
	}
	i := slices.Index(t.partitions, partition)
	if i < 0 {
		i = parts - 1
	}
	a.quota, a.partCount = quotaPart(t.quota, parts, i), parts
	return a
}

// quotaPart returns part i of a quota. The parts add up to the quota.
func quotaPart(quota task.Size, parts, i int) task.Size {
	return task.Size{
		Processors:   amountPart(quota.Processors, parts, i),
		Memory:       amountPart(quota.Memory, parts, i),
		Accelerators: amountPart(quota.Accelerators, parts, i),
		Slots:        amountPart(quota.Slots, parts, i),
		Connections:  amountPart(quota.Connections, parts, i),
	}
}

func amountPart(amount int64, parts, i int) int64 {
	if amount <= 0 {
		return 0
	}
	share, remainder := amount/int64(parts), amount%int64(parts)
	if int64(i) < remainder {
		share++
	}
	if share == 0 {
		return noneAllowed
	}
	return share
}

// allows reports whether size fits in the part besides what is used.
func (a *allotment) allows(size task.Size) bool {
	return a.quota.IsZero() || size.Fits(a.quota.Headroom(a.used))
}

// reassignAllotments assigns each job to its part after the quotas or the
// partitions changed. The usage of its attempts moves with it.
func (c *Core) reassignAllotments() {
	for _, j := range c.jobsBySerial() {
		a := j.team.allotmentOf(j.partition)
		if a == j.allotment {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.charged {
				j.allotment.used = j.allotment.used.Minus(t.size)
				a.used = a.used.Plus(t.size)
			}
		}
		queued := j.subqueue != nil
		c.unqueue(j)
		j.allotment = a
		if queued {
			c.enqueue(j)
		}
	}
}

// jobsBySerial returns all jobs, the oldest first.
func (c *Core) jobsBySerial() []*job {
	all := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.serial, b.serial) })
	return all
}
