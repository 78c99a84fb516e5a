package slope

import (
	"fmt"
	"runtime"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// taskMemory measures the memory of a core per running task.
func taskMemory() (Slope, error) {
	s := Slope{Name: "memory of a core", CostUnit: "bytes", SizeUnit: "running task"}
	for _, n := range []int{1000, 4000, 16000} {
		before := heap()
		core := runningCore(n)
		s.Points = append(s.Points, Point{float64(n), float64(heap() - before)})
		runtime.KeepAlive(core)
	}
	return s, nil
}

// answerMemory measures the memory of a core per piece of ended work whose
// answer it retains.
func answerMemory() (Slope, error) {
	s := Slope{Name: "memory of a core", CostUnit: "bytes", SizeUnit: "remembered answer"}
	for _, n := range []int{1000, 4000, 16000} {
		before := heap()
		core := runningCore(n)
		for i := range n {
			end := decision.Report{Status: decision.Ended, Attempt: task.AttemptID{Work: newWork(i).Key(), Number: 1}, Rack: "rack-0001",
				Worker: "worker-00001", Epoch: 1, Sequence: 1, Outcome: task.Succeeded}
			applyAll(core, end)
		}
		s.Points = append(s.Points, Point{float64(n), float64(heap() - before)})
		runtime.KeepAlive(core)
	}
	return s, nil
}

// viewMemory measures the memory of a core per rack in its view.
func viewMemory() (Slope, error) {
	s := Slope{Name: "memory of a core", CostUnit: "bytes", SizeUnit: "rack of 8 workers in view"}
	for _, n := range []int{10, 100, 850} {
		before := heap()
		core := decision.New(decision.Options{Region: "region-0"})
		for i := range n {
			core.Apply(now, decision.DigestChanged{Digest: busyRack(fmt.Sprintf("rack-%04d", i), 8).Digest()})
		}
		s.Points = append(s.Points, Point{float64(n), float64(heap() - before)})
		runtime.KeepAlive(core)
	}
	return s, nil
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// runningCore returns a core with n running tasks on one large worker.
func runningCore(n int) *decision.Core {
	core := decision.New(decision.Options{Region: "region-0"})
	r := rack.New("rack-0001", "region-0", "zone-00", 1)
	r.SetWorker("worker-00001", rack.Up, taskSize.Times(int64(2*n)))
	core.Apply(now, decision.DigestChanged{Digest: r.Digest()})
	for i := range n {
		applyAll(core, decision.Submitted{Caller: uint64(i), Partition: "region-0-001", Work: newWork(i)})
	}
	return core
}

// applyAll applies an event and all events that follow from it.
func applyAll(core *decision.Core, e decision.Event) {
	queue := []decision.Event{e}
	for len(queue) > 0 {
		for _, a := range core.Apply(now, queue[0]) {
			queue = append(queue, respond(a)...)
		}
		queue = queue[1:]
	}
}

// respond returns the events with which the journal and a rack's owner respond
// to an action.
func respond(a decision.Action) []decision.Event {
	switch a := a.(type) {
	case decision.Record:
		return []decision.Event{decision.Recorded{Token: a.Token}}
	case decision.Command:
		if a.Verb != decision.Place {
			return nil
		}
		return []decision.Event{decision.Report{Status: decision.Placed, Attempt: a.Attempt, Rack: a.Rack, Worker: a.Worker, Epoch: 1, Sequence: 1}}
	}
	return nil
}

// decisionTime measures the processor time of a core per start or answer.
func decisionTime() (Slope, error) {
	s := Slope{Name: "processor time of a decision", CostUnit: "microseconds", SizeUnit: "worker"}
	for _, scale := range []float64{0.01, 0.03, 0.1} {
		l := load.ProjectedScale(scale, 1)
		r := virtual.Run(l, decision.New(decision.Options{Region: l.Cell.Region}), virtual.Options{Drain: time.Second})
		s.Points = append(s.Points, Point{float64(len(l.Cell.Workers)), 1e6 / r.DecisionRate()})
	}
	return s, nil
}

// digestTime measures the time of a core to process a digest.
func digestTime() (Slope, error) {
	s := Slope{Name: "processor time of a digest", CostUnit: "microseconds", SizeUnit: "rack in view"}
	for _, n := range []int{10, 100, 850} {
		core := decision.New(decision.Options{Region: "region-0"})
		racks := make([]*rack.Rack, n)
		for i := range racks {
			racks[i] = busyRack(fmt.Sprintf("rack-%04d", i), 8)
			core.Apply(now, decision.DigestChanged{Digest: racks[i].Digest()})
		}
		began := time.Now()
		for i := range iterations {
			r := racks[i%n]
			r.Adopt(task.AttemptID{Work: task.Key{Team: "team", ID: fmt.Sprint(i)}}, taskSize, r.Digest().Workers[0].ID)
			core.Apply(now, decision.DigestChanged{Digest: r.Digest()})
		}
		s.Points = append(s.Points, Point{float64(n), float64(time.Since(began).Microseconds()) / iterations})
	}
	return s, nil
}
