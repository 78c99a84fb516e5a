package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloud is the platform's interface to machines.
type cloud struct {
	world *world

	mu       sync.Mutex
	machines map[string]*machine
	// delay is how long an order takes to be carried out.
	delay  time.Duration
	orders []cloudOrder
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
	c.orders = append(c.orders, cloudOrder{o.Machine, q.Header.Get("Lease-Holder"), fence, time.Now()})
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
		m.worker.crash()
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
}
