package wal

import (
	"github.com/vanillaquay/vanillaquay/record"
)

// Item is an entry to be made durable, with the number by which the listener
// knows it.
type Item struct {
	Token uint64
	Entry record.Entry
}

// mustRecord reports whether the entry tells of something that has happened, so that
// it is kept and tried until it is durable. Whatever only begins with the entry
// is better refused at once.
func (i Item) mustRecord() bool { return i.Entry.Verb == record.End || i.Entry.Verb == record.Final }

func (i Item) size() int {
	n := entryOverheadBytes + len(i.Entry.Body) + len(i.Entry.Begun)*entryOverheadBytes
	if w := i.Entry.Work; w != nil {
		n += entryOverheadBytes + len(w.Payload)
	}
	if a := i.Entry.Answer; a != nil {
		for _, body := range a.Bodies {
			n += len(body)
		}
	}
	return n
}
