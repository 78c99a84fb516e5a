package wal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/wal"
)

// payload makes a snapshot due after a few rows.
var payload = make([]byte, 80<<10)

// entry returns an entry for the work with the given ID.
func entry(verb record.Verb, id string) record.Entry {
	switch verb {
	case record.Accept:
		return record.Entry{Verb: verb, Work: &task.Work{Team: "domes", ID: id, Tasks: 1, Payload: payload}}
	case record.Final:
		return record.Entry{Verb: verb, Answer: &task.Answer{Team: "domes", ID: id}}
	default:
		panic(verb)
	}
}

// outcome counts the notifications about one entry.
type outcome struct {
	doubted  bool
	recorded int
	failed   int
}

// owner is a writer with its listener, whose state is the list of durable entries.
type owner struct {
	name   string
	writer *wal.Writer
	done   chan struct{}
	cancel context.CancelFunc

	mu        sync.Mutex
	token     uint64
	items     map[uint64]record.Entry
	outcomes  map[uint64]outcome
	entries   []record.Entry
	opened    bool
	fenced    bool
	violation error
	// oversized makes every snapshot too large for rows of the table.
	oversized bool
}

func newOwner(s *store, epoch uint64) *owner {
	o := &owner{
		name: fmt.Sprintf("e%d", epoch), done: make(chan struct{}),
		items: map[uint64]record.Entry{}, outcomes: map[uint64]outcome{},
	}
	limiter := rate.NewLimiter(rate.Limit(50), 4)
	o.writer = wal.NewWriter(wal.Store{Table: s, Objects: s}, "centro-000", o.name, epoch, limiter, o)
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() {
		defer close(o.done)
		o.writer.Run(ctx)
	}()
	return o
}

// withOwner runs a test in a synctest bubble, with an owner that has had time to open
// its journal in the store.
func withOwner(t *testing.T, s *store, test func(c *qt.C, o *owner)) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(s, 1)
		defer o.stop()
		time.Sleep(time.Second)
		test(qt.New(t), o)
	})
}

// withOwnerForEach calls withOwner with a new store for each case, as a subtest.
func withOwnerForEach[T any](t *testing.T, cases map[string]T, test func(c *qt.C, s *store, o *owner, with T)) {
	for name, with := range cases {
		t.Run(name, func(t *testing.T) {
			s := newStore()
			withOwner(t, s, func(c *qt.C, o *owner) { test(c, s, o, with) })
		})
	}
}

// put queues an entry and reports whether it was accepted.
func (o *owner) put(verb record.Verb) bool {
	o.mu.Lock()
	o.token++
	token := o.token
	e := entry(verb, fmt.Sprintf("%s-%d", o.name, token))
	o.items[token] = e
	o.mu.Unlock()
	err := o.writer.Put(wal.Item{Token: token, Entry: e})
	if err == nil {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[token] = outcome{failed: 1}
	return false
}

func (o *owner) outcome(token uint64) outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outcomes[token]
}

func (o *owner) Recovered(entries []record.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range entries {
		if e.Verb != record.Fence {
			o.entries = append(o.entries, e)
		}
	}
	o.opened = true
}

func (o *owner) Recorded(token uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	got := o.outcomes[token]
	got.recorded++
	o.outcomes[token] = got
	o.entries = append(o.entries, o.items[token])
}

func (o *owner) Failed(token uint64, inDoubt bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	got := o.outcomes[token]
	if inDoubt {
		if got.doubted || got.recorded+got.failed > 0 {
			o.violation = fmt.Errorf("%s: token %d was put in doubt after %+v", o.name, token, got)
		}
		got.doubted = true
	} else {
		got.failed++
	}
	o.outcomes[token] = got
}

func (o *owner) SnapshotDue(covers uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	entries := append([]record.Entry(nil), o.entries...)
	if o.oversized {
		body := make([]byte, wal.MaxPages*wal.PageBytes)
		entries = append(entries, record.Entry{Verb: record.Final, Answer: &task.Answer{Team: "domes", ID: "large", Bodies: [][]byte{body}}})
	}
	go o.writer.SubmitSnapshot(covers, entries)
}

func (o *owner) Fenced() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fenced = true
}

// stop ends the writer as if its process had been killed.
func (o *owner) stop() {
	o.cancel()
	<-o.done
}
