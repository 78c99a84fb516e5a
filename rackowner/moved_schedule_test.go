package rackowner_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/task"
)

// move gives a worker another address, where another process answers. The process at the earlier
// address can't be reached any more and runs on under its leases.
func (s *schedule) move(id string) {
	m, n := s.workers[id], len(s.workers)
	earlier := fmt.Sprintf("%s at address %d", id, n)
	s.workers[earlier] = &simulatedWorker{
		id: earlier, instance: m.instance, epoch: m.epoch, lease: m.lease, running: maps.Clone(m.running), ended: map[task.AttemptID]task.Outcome{},
	}
	s.restart(m)
	s.hosts = slices.Clone(s.hosts)
	for i, h := range s.hosts {
		if h.ID == id {
			s.hosts[i].Address = fmt.Sprint("127.0.0.1:", n)
		}
	}
	s.owner.UpdateWorkers(s.now, s.hosts, nil)
}

// stepMoving performs one random event of a rack that keeps its owner.
func (s *schedule) stepMoving() {
	defer s.owner.PublishDigests()
	id := rapid.SampledFrom([]string{"w1", "w2"}).Draw(s.t, "worker")
	m, w := s.workers[id], s.links[id]
	switch rapid.IntRange(0, 13).Draw(s.t, "step") {
	case 0, 1, 2:
		s.command()
	case 3, 4, 5, 6:
		s.exchange(m, w, false)
	case 7:
		s.exchange(m, w, true)
	case 8:
		s.completeOne(m)
	case 9:
		s.deliverEvents(m, w)
	case 10:
		s.advanceTime(time.Duration(rapid.IntRange(1, 20_000).Draw(s.t, "milliseconds")) * time.Millisecond)
	case 11:
		s.restart(m)
	case 12:
		s.forgeEnd(m)
	case 13:
		s.move(id)
	}
}

// TestReportsAreTrueWhileWorkersMove guards against false reports of attempts on processes that
// their owner can't reach any more, since their workers have other addresses by now (TWICE).
func TestReportsAreTrueWhileWorkersMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.stepMoving()
		}
	})
}
