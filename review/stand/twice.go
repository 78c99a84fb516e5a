package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	// freezeTime is how long the owner is frozen, cutTime how long it and a worker are cut off.
	freezeTime = 1400 * time.Millisecond
	cutTime    = 12 * time.Second
)

// freezeAsRenewed stops the owner as the answer to its next transaction is on its way.
func (t *trial) freezeAsRenewed() (int, error) {
	owner := t.cell.owner()
	frozen := make(chan struct{})
	var hit bool
	t.cell.mu.Lock()
	t.cell.onTransaction = func(host int) {
		t.cell.mu.Lock()
		first := host == owner && !hit
		hit = hit || first
		t.cell.mu.Unlock()
		if first {
			t.cell.signal(owner, syscall.SIGSTOP)
			close(frozen)
		}
	}
	t.cell.mu.Unlock()
	select {
	case <-frozen:
		return owner, nil
	case <-time.After(5 * time.Second):
		return 0, errors.New("no transaction of the owner")
	}
}

// smallJobs hands in a small job every 100 ms.
func (t *trial) smallJobs(stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		j := job{id: newID(), spec: spec{MS: 300}, steps: []map[string]any{{"tasks": 1, "cpu": 200, "mem_mb": 64, "estimate": 300}}}
		go func() {
			status, answer := t.cell.call(i%3, "POST", "/plain/"+j.id, j.document())
			t.record.line("client POST plain/%s: %d %s", j.id, status, answer)
		}()
	}
}

// runTwice freezes the owner for a moment, and cuts it and one worker off from all others.
func runTwice(t *trial) error {
	const hosts, workers = 3, 6
	if err := t.open(hosts, workers, 16000, catalogue("plain")); err != nil {
		return err
	}
	c := t.cell
	long := job{id: newID(), spec: spec{MS: 40000}, steps: []map[string]any{{"tasks": 6, "cpu": 1000, "mem_mb": 64, "estimate": 40000}}}
	short := job{id: newID(), spec: spec{MS: 4000, Step: 100}, steps: []map[string]any{{"tasks": 60, "cpu": 100, "mem_mb": 64, "estimate": 8000}}}
	if !c.submit("plain", long.id, long.document()) || !c.submit("plain", short.id, short.document()) {
		return errors.New("a job was not accepted")
	}
	stop := make(chan struct{})
	go t.smallJobs(stop)
	defer close(stop)
	time.Sleep(4 * time.Second)
	if t.trouble {
		owner, err := t.freezeAsRenewed()
		if err != nil {
			return err
		}
		frozen := time.Now()
		t.record.line("%s and %s are cut off from all others", c.hosts[owner].name, c.workers[0].id)
		time.Sleep(300 * time.Millisecond)
		c.partition(owner, 0, true)
		time.Sleep(time.Until(frozen.Add(freezeTime)))
		c.signal(owner, syscall.SIGCONT)
		time.Sleep(3 * heartbeat)
		c.rows.Remove("servers", c.workers[0].id)
		time.Sleep(time.Until(frozen.Add(cutTime)))
		c.partition(owner, 0, false)
		t.record.line("the cut ends")
	}
	time.Sleep(10 * time.Second)
	return nil
}

// partition cuts a host and a worker off from the store and from all other hosts and
// workers, without a reset, or ends the cut. The two reach each other.
func (c *cell) partition(host, worker int, cut bool) {
	c.setCut(worker, cut)
	c.storeLinks[host].Pause(cut)
	for i := range c.hosts {
		for j := range c.workers {
			if (i == host) != (j == worker) {
				c.workerLinks[i][j].Pause(cut)
			}
		}
		if i != host {
			c.hostLinks[i][host].Pause(cut)
			c.hostLinks[host][i].Pause(cut)
		}
	}
}
