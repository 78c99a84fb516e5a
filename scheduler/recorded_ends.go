package scheduler

import "sync"

// recordedEnds tracks the last run end of a worker that has been recorded, so that the
// worker may discard it and those before it. A worker numbers its ends from the start in
// each life, that is, each time its process starts. The zero value is ready to use. It is
// safe for concurrent use.
type recordedEnds struct {
	mu sync.Mutex
	// recordedLife is the life to which recordedNumber belongs.
	recordedLife, recordedNumber int64
}

// record notes that an end has been recorded, possibly after the worker began another
// life.
func (n *recordedEnds) record(life, number int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if life == n.recordedLife {
		number = max(number, n.recordedNumber)
	}
	n.recordedLife, n.recordedNumber = life, number
}

// isRecorded reports whether an end is known to be recorded.
func (n *recordedEnds) isRecorded(life, number int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.recordedLife == life && n.recordedNumber >= number
}

// lastDiscardable returns the number up to which the worker may discard its ends in a call for
// the given life. It is 0 if no end of that life has been recorded.
func (n *recordedEnds) lastDiscardable(life int64) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recordedLife != life {
		return 0
	}
	return n.recordedNumber
}
