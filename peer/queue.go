package peer

import (
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ring"
)

// Bounds of a link's queue.
const (
	// maxQueuedMessages is the most messages of one rank that wait.
	maxQueuedMessages = 4096
	// maxQueuedBytes is the most bytes of one rank that wait, unless there is only
	// one message.
	maxQueuedBytes = 16 << 20
	// maxBatchBytes ends a batch of frames, so that a check of progress waits for
	// one batch at most. A larger frame goes alone.
	maxBatchBytes = 128 << 10
	// maxBatchFrames is the most frames of a batch.
	maxBatchFrames = 256
)

// priority is the order in which kinds are sent.
type priority int

// The ranks, first to be sent first.
const (
	control priority = iota
	answers
	requests
	latest
	priorityCount
)

// priorityOf returns the rank of a kind. What the hosts agree by is small and must not
// wait for what they carry, so that it goes first. Answers and reports free what
// waits at both ends, so that they go next.
func priorityOf(k Kind) priority {
	switch k {
	case KindOwnership, KindConfiguration, KindApplied, KindEpochs, KindEpochsKnown, KindTenure:
		return control
	case KindAnswer, KindReport, KindJobAnswer, KindAdvice, KindWorkerAnswers:
		return answers
	case KindCall, KindCommand, KindJobCall, KindQuestion, KindWorkerCalls:
		return requests
	default:
		return latest
	}
}

// ValueFunc returns the value to send as of now, or false if there is none.
type ValueFunc func() (any, bool)

// latestValue is a value that is encoded when its turn comes.
type latestValue struct {
	kind    Kind
	current ValueFunc
}

// queue holds the frames that wait for one member. It is open while there is a
// connection.
type queue struct {
	mu     sync.Mutex
	open   bool
	frames [priorityCount][]frame
	bytes  [priorityCount]int
	// latestValues holds what is encoded when its turn comes, one for each kind.
	latestValues []latestValue
	// ready has a value while there is something to send.
	ready chan struct{}
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// put adds a frame, or fails at once with ErrDown or ring.ErrFull.
func (q *queue) put(f frame) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.open {
		return ErrDown
	}
	r := priorityOf(f.Kind.kind())
	if len(q.frames[r]) >= maxQueuedMessages || len(q.frames[r]) > 0 && q.bytes[r]+len(f.Body) > maxQueuedBytes {
		return ring.ErrFull
	}
	q.frames[r] = append(q.frames[r], f)
	q.bytes[r] += len(f.Body)
	signal(q.ready)
	return nil
}

// putLatest sets what to send of a kind, in place of what was offered before.
func (q *queue) putLatest(k Kind, current ValueFunc) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.open {
		return ErrDown
	}
	i := slices.IndexFunc(q.latestValues, func(o latestValue) bool { return o.kind == k })
	if i < 0 {
		q.latestValues = append(q.latestValues, latestValue{kind: k, current: current})
	} else {
		q.latestValues[i].current = current
	}
	signal(q.ready)
	return nil
}

// takeBatch removes a batch of frames, most urgent first, of up to a number of bytes
// unless one frame alone is larger. It returns none if nothing waits.
func (q *queue) takeBatch(limit int) ([]frame, error) {
	q.mu.Lock()
	control := q.takeLatest(func(r priority) bool { return r == control })
	frames, size := q.takeFrames(limit)
	var others []latestValue
	if size < limit {
		others = q.takeLatest(func(priority) bool { return true })
	}
	if q.lengthLocked() > 0 {
		signal(q.ready)
	}
	q.mu.Unlock()
	batch, err := encodeLatest(nil, control)
	if err != nil {
		return nil, err
	}
	return encodeLatest(append(batch, frames...), others)
}

// takeLatest removes the offers of some ranks, with q.mu held.
func (q *queue) takeLatest(wanted func(priority) bool) []latestValue {
	var taken []latestValue
	q.latestValues = slices.DeleteFunc(q.latestValues, func(o latestValue) bool {
		if !wanted(priorityOf(o.kind)) {
			return false
		}
		taken = append(taken, o)
		return true
	})
	return taken
}

// takeFrames removes frames of up to a number of bytes, with q.mu held.
func (q *queue) takeFrames(limit int) (batch []frame, size int) {
	for r := range q.frames {
		for len(q.frames[r]) > 0 && len(batch) < maxBatchFrames && (size == 0 || size+len(q.frames[r][0].Body) <= limit) {
			f := q.frames[r][0]
			q.frames[r] = q.frames[r][1:]
			q.bytes[r] -= len(f.Body)
			size += len(f.Body)
			batch = append(batch, f)
		}
	}
	return batch, size
}

// encodeLatest appends the frames of offers that have a value.
func encodeLatest(batch []frame, offers []latestValue) ([]frame, error) {
	for _, o := range offers {
		value, ok := o.current()
		if !ok {
			continue
		}
		body, err := codec.Marshal(value)
		if err != nil {
			return nil, errors.Trace(err)
		}
		batch = append(batch, frame{Kind: codeOf(o.kind), Body: body})
	}
	return batch, nil
}

// reset drops what waits, and opens or closes the queue.
func (q *queue) reset(open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.open = open
	q.frames, q.bytes = [priorityCount][]frame{}, [priorityCount]int{}
	q.latestValues = nil
}

// isOpen reports whether there is a connection.
func (q *queue) isOpen() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.open
}

// length returns the number of messages that wait.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lengthLocked()
}

func (q *queue) lengthLocked() int {
	n := len(q.latestValues)
	for _, f := range q.frames {
		n += len(f)
	}
	return n
}
