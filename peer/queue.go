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
	// queueLength is the most messages of one rank that wait.
	queueLength = 4096
	// queueBytes is the most bytes of one rank that wait, unless there is only
	// one message.
	queueBytes = 16 << 20
	// batchBytes ends a batch of frames, so that a check of progress waits for
	// one batch at most. A larger frame goes alone.
	batchBytes = 128 << 10
	// batchFrames is the most frames of a batch.
	batchFrames = 256
)

// rank is the order in which kinds are sent.
type rank int

// The ranks, first to be sent first.
const (
	control rank = iota
	answers
	requests
	latest
	ranks
)

// rankOf returns the rank of a kind. What the hosts agree by is small and must not
// wait for what they carry, so that it goes first. Answers and reports free what
// waits at both ends, so that they go next.
func rankOf(k Kind) rank {
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

// offer is a value that is encoded when its turn comes.
type offer struct {
	kind    Kind
	produce ValueFunc
}

// queue holds the frames that wait for one member. It is open while there is a
// connection.
type queue struct {
	mu     sync.Mutex
	open   bool
	frames [ranks][]frame
	bytes  [ranks]int
	// offers holds what is encoded when its turn comes, one for each kind.
	offers []offer
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
	r := rankOf(f.Kind.kind())
	if len(q.frames[r]) >= queueLength || len(q.frames[r]) > 0 && q.bytes[r]+len(f.Body) > queueBytes {
		return ring.ErrFull
	}
	q.frames[r] = append(q.frames[r], f)
	q.bytes[r] += len(f.Body)
	signal(q.ready)
	return nil
}

// offer sets what to send of a kind, in place of what was offered before.
func (q *queue) offer(k Kind, p ValueFunc) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.open {
		return ErrDown
	}
	i := slices.IndexFunc(q.offers, func(o offer) bool { return o.kind == k })
	if i < 0 {
		q.offers = append(q.offers, offer{kind: k, produce: p})
	} else {
		q.offers[i].produce = p
	}
	signal(q.ready)
	return nil
}

// take removes a batch of frames, most urgent first, of up to a number of bytes
// unless one frame alone is larger. It returns none if nothing waits.
func (q *queue) take(limit int) ([]frame, error) {
	q.mu.Lock()
	first := q.takeOffers(func(r rank) bool { return r == control })
	frames, size := q.takeFrames(limit)
	var last []offer
	if size < limit {
		last = q.takeOffers(func(rank) bool { return true })
	}
	if q.depth() > 0 {
		signal(q.ready)
	}
	q.mu.Unlock()
	batch, err := encode(nil, first)
	if err != nil {
		return nil, err
	}
	return encode(append(batch, frames...), last)
}

// takeOffers removes the offers of some ranks, with q.mu held.
func (q *queue) takeOffers(wanted func(rank) bool) []offer {
	var taken []offer
	q.offers = slices.DeleteFunc(q.offers, func(o offer) bool {
		if !wanted(rankOf(o.kind)) {
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
		for len(q.frames[r]) > 0 && len(batch) < batchFrames && (size == 0 || size+len(q.frames[r][0].Body) <= limit) {
			f := q.frames[r][0]
			q.frames[r] = q.frames[r][1:]
			q.bytes[r] -= len(f.Body)
			size += len(f.Body)
			batch = append(batch, f)
		}
	}
	return batch, size
}

// encode appends the frames of offers that have a value.
func encode(batch []frame, offers []offer) ([]frame, error) {
	for _, o := range offers {
		value, ok := o.produce()
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
	q.frames, q.bytes = [ranks][]frame{}, [ranks]int{}
	q.offers = nil
}

// up reports whether there is a connection.
func (q *queue) up() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.open
}

// waiting returns the number of messages that wait.
func (q *queue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.depth()
}

func (q *queue) depth() int {
	n := len(q.offers)
	for _, f := range q.frames {
		n += len(f)
	}
	return n
}
