package cell

import (
	"iter"
	"maps"
	"math"
	"slices"

	"github.com/vanillaquay/vanillaquay/forecast"
)

// Learned is what a cell has learned about its queues, by name. An owner passes it on to the
// next one, which would otherwise go by declared estimates until enough work has ended again.
type Learned struct {
	Durations      map[string]forecast.Model `cbor:"1,keyasint,omitempty"`
	Speeds         map[string]QueueSpeed     `cbor:"2,keyasint,omitempty"`
	EligibleRatios map[string]float64        `cbor:"3,keyasint,omitempty"`
}

// Learned returns what the cell has learned about the queues of the current catalogue, and of removed
// ones that still have jobs.
func (c *Cell) Learned() Learned {
	orphaned := map[string]bool{}
	for _, j := range c.jobs {
		if c.isOrphaned(j) {
			orphaned[j.Queue] = true
		}
	}
	isUsed := func(queue string) bool {
		_, ok := c.queues[queue]
		return ok || orphaned[queue]
	}
	return Learned{
		Durations:      selectQueues(c.durations, isUsed),
		Speeds:         selectQueues(c.speeds, isUsed),
		EligibleRatios: selectQueues(c.eligibleRatios, isUsed),
	}
}

// maxLearnedBytes bounds the encoded size of what is learned about one queue, without its name,
// which is in each of the three maps: 274 for the model of its run times, 30 for the rest.
const maxLearnedBytes = 320

// Split divides what was learned, so that each piece takes no more than the given number of
// bytes when it is encoded. A queue whose name is too long for a piece is left out: what it
// needs is learned again.
func (l Learned) Split(maxBytes int) []Learned {
	names := map[string]bool{}
	for _, queues := range []iter.Seq[string]{maps.Keys(l.Durations), maps.Keys(l.Speeds), maps.Keys(l.EligibleRatios)} {
		for name := range queues {
			names[name] = true
		}
	}
	pieces, size := []Learned{newLearned()}, 0
	for _, name := range slices.Sorted(maps.Keys(names)) {
		added := maxLearnedBytes + 3*len(name)
		if added > maxBytes {
			continue
		}
		if size += added; size > maxBytes {
			pieces, size = append(pieces, newLearned()), added
		}
		pieces[len(pieces)-1].addQueue(name, l)
	}
	return pieces
}

func newLearned() Learned {
	return Learned{Durations: map[string]forecast.Model{}, Speeds: map[string]QueueSpeed{}, EligibleRatios: map[string]float64{}}
}

// addQueue adds what another value holds about a queue.
func (l Learned) addQueue(name string, from Learned) {
	if m, ok := from.Durations[name]; ok {
		l.Durations[name] = m
	}
	if q, ok := from.Speeds[name]; ok {
		l.Speeds[name] = q
	}
	if ratio, ok := from.EligibleRatios[name]; ok {
		l.EligibleRatios[name] = ratio
	}
}

// RestoreLearned adds what an earlier owner learned. Values that no owner can have learned are
// ignored.
func (c *Cell) RestoreLearned(l Learned) {
	for queue, m := range l.Durations {
		if m.IsValid() {
			c.durations[queue] = m
		}
	}
	for queue, q := range l.Speeds {
		if isPositive(q.Mean) && q.Deviation >= 0 {
			c.speeds[queue] = q
		}
	}
	for queue, ratio := range l.EligibleRatios {
		if ratio >= 0 && ratio <= 1 {
			c.eligibleRatios[queue] = ratio
		}
	}
	c.durationsChanged = true
}

// selectQueues returns the entries of the queues that satisfy a condition.
func selectQueues[M ~map[string]V, V any](all M, selects func(queue string) bool) map[string]V {
	selected := make(map[string]V, len(all))
	for queue, value := range all {
		if selects(queue) {
			selected[queue] = value
		}
	}
	return selected
}

func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
