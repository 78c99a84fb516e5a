package rackowner

import "time"

// ReadKind names a read whose result determines which workers accept no new attempts.
type ReadKind int

// Kinds of reads.
const (
	// ReadHosts is the read of the platform's list of workers.
	ReadHosts ReadKind = iota
	// ReadDrained is the read of the workers that operators drain.
	ReadDrained
	readKindCount
)

// pauseGuard blocks starts after the process was paused, since workers may have begun to
// leave meanwhile. The zero value blocks nothing.
type pauseGuard struct {
	// endedAt is when the owner detected that the process had been paused.
	endedAt time.Time
	// pendingReads marks the reads that have not been tried since endedAt.
	pendingReads [readKindCount]bool
}

// blocksStarts reports whether starts are blocked.
func (p *pauseGuard) blocksStarts() bool {
	return p.pendingReads[ReadHosts] || p.pendingReads[ReadDrained]
}

// HandlePause records that the process was paused until now. No attempt is started until
// each read has been tried again.
func (o *Owner) HandlePause(now time.Time) {
	o.pause.endedAt = now
	for i := range o.pause.pendingReads {
		o.pause.pendingReads[i] = true
	}
}

// RecordRead records that a read, begun at the given time, has finished; the caller has
// already passed its result, if any, to the owner. A failed read counts too: while reads
// fail, the last known state applies.
func (o *Owner) RecordRead(r ReadKind, beganAt time.Time) {
	if !beganAt.Before(o.pause.endedAt) {
		o.pause.pendingReads[r] = false
	}
}
