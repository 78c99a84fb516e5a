package wal

import (
	"github.com/vanillaquay/vanillaquay/record"
)

// Item is an entry to be made durable, with the token by which the listener
// identifies it.
type Item struct {
	Token uint64
	Entry record.Entry
}

// mustRecord reports whether the entry records an event that has already happened
// and is therefore retried until it is durable. Any other entry starts something
// new and is better rejected at once during an outage.
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
