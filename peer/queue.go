package peer

import (
	"slices"
	"sync"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ring"
)

// Limits of a link's queue.
const (
	// maxQueuedMessages is the maximum number of queued messages of one priority.
	maxQueuedMessages = 4096
	// maxQueuedBytes is the maximum total size of the queued messages of one priority.
	// A larger message is accepted if no other one is queued.
	maxQueuedBytes = 16 << 20
	// maxBatchBytes is the maximum size of a batch of frames, which bounds the delay of
	// a progress check. A larger frame is sent alone.
	maxBatchBytes = 128 << 10
	// maxBatchFrames is the maximum number of frames taken from the queue for a batch.
	maxBatchFrames = 256
)

// priority determines the order in which messages are sent, by kind.
type priority int

// The priorities, highest first.
const (
	control priority = iota
	answers
	requests
	latest
	priorityCount
)

// priorityOf returns the priority of a kind. Coordination messages between hosts are
// small and must not wait behind the work that the hosts forward. Answers and
// reports come next, since they release resources at both ends.
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

// ValueFunc returns the current value to send, or false if there is none.
type ValueFunc func() (any, bool)

// latestValue is a pending SendLatest, encoded when it is about to be sent.
type latestValue struct {
	kind    Kind
	current ValueFunc
}

// queue holds the messages to one member that wait to be sent. It is open while
// there is a connection.
type queue struct {
	mu     sync.Mutex
	open   bool
	frames [priorityCount][]frame
	bytes  [priorityCount]int
	// latestValues holds the pending SendLatest calls, at most one for each kind.
	latestValues []latestValue
	// ready holds a value while there may be something to send.
	ready chan struct{}
}

func newQueue() *queue {
	return &queue{ready: make(chan struct{}, 1)}
}

// put adds a frame, or fails with ErrDown or ring.ErrFull. It does not block.
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

// putLatest sets the function that returns the latest value of a kind, in place of
// an earlier one.
func (q *queue) putLatest(k Kind, current ValueFunc) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.open {
		return ErrDown
	}
	i := slices.IndexFunc(q.latestValues, func(v latestValue) bool { return v.kind == k })
	if i < 0 {
		q.latestValues = append(q.latestValues, latestValue{kind: k, current: current})
	} else {
		q.latestValues[i].current = current
	}
	signal(q.ready)
	return nil
}

// takeBatch removes a batch of messages, highest priority first. Queued frames add
// up to at most limit bytes, unless a single frame is larger. The batch is empty if
// nothing is queued.
func (q *queue) takeBatch(limit int) ([]frame, error) {
	q.mu.Lock()
	urgent := q.takeLatest(func(r priority) bool { return r == control })
	frames, size := q.takeFrames(limit)
	var others []latestValue
	if size < limit {
		others = q.takeLatest(func(priority) bool { return true })
	}
	if q.lengthLocked() > 0 {
		signal(q.ready)
	}
	q.mu.Unlock()
	batch, err := encodeLatest(nil, urgent)
	if err != nil {
		return nil, err
	}
	return encodeLatest(append(batch, frames...), others)
}

// takeLatest removes the pending values of the wanted priorities, with q.mu held.
func (q *queue) takeLatest(wanted func(priority) bool) []latestValue {
	var taken []latestValue
	q.latestValues = slices.DeleteFunc(q.latestValues, func(v latestValue) bool {
		if !wanted(priorityOf(v.kind)) {
			return false
		}
		taken = append(taken, v)
		return true
	})
	return taken
}

// takeFrames removes frames of at most limit bytes in total, unless a single frame
// is larger, with q.mu held.
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

// encodeLatest appends a frame for each pending value that exists.
func encodeLatest(batch []frame, values []latestValue) ([]frame, error) {
	for _, v := range values {
		value, ok := v.current()
		if !ok {
			continue
		}
		body, err := codec.Marshal(value)
		if err != nil {
			return nil, errors.Trace(err)
		}
		batch = append(batch, frame{Kind: codeOf(v.kind), Body: body})
	}
	return batch, nil
}

// reset clears the queue, and opens or closes it.
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

// length returns the number of queued messages.
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
