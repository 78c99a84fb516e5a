package cell

import "math"

// Learned is what a cell has learned about its queues, by name. An owner passes it on to the
// next one, which would otherwise go by declared estimates until enough work has ended again.
type Learned struct {
	Durations      map[string]DurationModel `cbor:"1,keyasint,omitempty"`
	Speeds         map[string]QueueSpeed    `cbor:"2,keyasint,omitempty"`
	EligibleRatios map[string]float64       `cbor:"3,keyasint,omitempty"`
}

// Learned returns what the cell has learned about the queues of the current catalogue.
func (c *Cell) Learned() Learned {
	return Learned{
		Durations:      selectQueues(c.durations, c.isRouted),
		Speeds:         selectQueues(c.speeds, c.isRouted),
		EligibleRatios: selectQueues(c.eligibleRatios, c.isRouted),
	}
}

func (c *Cell) isRouted(queue string) bool {
	_, ok := c.queues[queue]
	return ok
}

// RestoreLearned adds what an earlier owner learned. Values that no owner can have learned are
// ignored.
func (c *Cell) RestoreLearned(l Learned) {
	for queue, m := range l.Durations {
		if m.isValid() {
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
