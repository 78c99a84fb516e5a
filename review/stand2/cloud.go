package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cloud is the platform's interface to machines.
type cloud struct {
	world *world

	mu       sync.Mutex
	machines map[string]*machine
	// delay is how long an order takes to be carried out.
	delay time.Duration
	// lose is the number of the next orders that are carried out without an answer.
	lose   int
	orders []cloudOrder
	waves  map[int64]waveOrder
}

type waveOrder struct {
	machines []string
	atOnce   int
}

// checkDone checks that no wave is said to be done too early.
func (c *cloud) checkDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, o := range c.waves {
		if !strings.Contains(string(c.world.store.Value("status", "wave/"+strconv.FormatInt(n, 10))), `"done"`) {
			continue
		}
		for _, id := range o.machines {
			if !c.machines[id].done[n] {
				c.world.judge.note("MIXED: wave %d is done without %s", n, id)
			}
		}
		c.world.log.add("wave %d is done", n)
		delete(c.waves, n)
	}
}

// checkOrder checks an order against the last one for its machine.
func (c *cloud) checkOrder(o cloudOrder) {
	for i := len(c.orders) - 1; i >= 0; i-- {
		last := c.orders[i]
		if last.machine != o.machine {
			continue
		}
		switch {
		case last.holder != o.holder && last.fence == o.fence:
			c.world.judge.note("ONE: %s and %s with fence %d for %s", last.holder, o.holder, o.fence, o.machine)
		case o.fence < last.fence:
			c.world.judge.note("ONE: fence %d after %d for %s", o.fence, last.fence, o.machine)
		case last.holder != o.holder && o.at.Sub(last.at) < 3*time.Second:
			c.world.judge.note("ONE: %s %s after %s for %s", o.holder, o.at.Sub(last.at), last.holder, o.machine)
		}
		return
	}
}

type machine struct {
	worker *worker
	down   bool
	wave   int64
	done   map[int64]bool
}

type cloudOrder struct {
	machine, holder string
	fence           int64
	at              time.Time
}

func (c *cloud) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	if q.URL.Path == prefix+"/machines" {
		rows := []map[string]any{}
		for id, m := range c.machines {
			state := "up"
			if m.down {
				state = "upkeep"
			}
			rows = append(rows, map[string]any{"machine": id, "pool": "s", "state": state, "zone": "z", "id": m.worker.id})
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i]["machine"].(string) < rows[j]["machine"].(string) })
		_ = json.NewEncoder(rw).Encode(map[string]any{"machines": rows, "next_token": nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(q.Body).Decode(&o)
	fence, _ := strconv.ParseInt(q.Header.Get("Fencing-Token"), 10, 64)
	m := c.machines[o.Machine]
	c.world.log.add("cloud: upkeep of %s for wave %d by %s, fence %d", o.Machine, o.Wave, q.Header.Get("Lease-Holder"), fence)
	next := cloudOrder{o.Machine, q.Header.Get("Lease-Holder"), fence, time.Now()}
	c.checkOrder(next)
	c.orders = append(c.orders, next)
	switch {
	case m == nil:
		rw.WriteHeader(http.StatusBadRequest)
	case m.done[o.Wave]:
	case m.down:
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(map[string]string{"reason": "busy"})
	default:
		m.down, m.wave, m.done[o.Wave] = true, o.Wave, true
		c.world.judge.upkeep(c, o.Machine, m)
		m.worker.crash(true)
		time.AfterFunc(maintenance, func() {
			m.worker.mu.Lock()
			m.worker.boot()
			m.worker.mu.Unlock()
			c.mu.Lock()
			m.down = false
			c.mu.Unlock()
			c.world.log.add("cloud: %s is up", o.Machine)
			c.world.announce(m.worker)
		})
	}
	if c.lose > 0 {
		c.lose--
		panic(http.ErrAbortHandler)
	}
}
