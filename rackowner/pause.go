package rackowner

import "time"

// ReadKind names what an owner must know to tell which workers take nothing new.
type ReadKind int

// Reads of an owner.
const (
	// ReadHosts is that of the platform's list of workers.
	ReadHosts ReadKind = iota
	// ReadDrained is that of the workers that operators drain.
	ReadDrained
	readKindCount
)

// pause holds starts back after the process was paused, since workers may have
// begun to leave meanwhile. The zero value holds nothing back.
type pause struct {
	// ended is when the owner found that the process had been paused.
	ended time.Time
	// missing holds the reads that have not been made since.
	missing [readKindCount]bool
}

// holds reports whether starts are held back.
func (p *pause) holds() bool { return p.missing[ReadHosts] || p.missing[ReadDrained] }

// HandlePause tells that the process was paused up to now. No attempt is started until
// each read has been tried anew.
func (o *Owner) HandlePause(now time.Time) {
	o.pause.ended = now
	for i := range o.pause.missing {
		o.pause.missing[i] = true
	}
}

// RecordRead tells that a read, which began at the given time, has ended, and that the
// owner was told its result if it has one. While nothing can be read, what is known
// goes on to count.
func (o *Owner) RecordRead(r ReadKind, began time.Time) {
	if !began.Before(o.pause.ended) {
		o.pause.missing[r] = false
	}
}
