package cell_test

import (
	"testing"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// busyCell returns a busy cell of 350 workers with a backlog of steps, a quarter of them
// gangs, most of which have answers about the workers that may run them.
func busyCell(steps int) *world {
	w := newWorld(350)
	for n := range 350 {
		w.submit(job(id(n), "Plain", 4, func(s *workload.Step) { s.Estimate = 20 * second }))
	}
	for n := range steps {
		w.Submit(w.now, job(id(1000+n), "Advised", 20, func(s *workload.Step) {
			s.Gang = n%4 == 0
			s.Size.Processors = 3 * task.Processor
			s.Estimate = 5 * second
		}))
	}
	for range 3 {
		w.schedule()
		w.advise(func(id string) bool { return id[len(id)-1]%3 == 0 })
		w.now += 20 * ms
	}
	return w
}

// BenchmarkScheduleBacklog measures one scheduling pass over a backlog after an outage.
func BenchmarkScheduleBacklog(b *testing.B) {
	w := busyCell(800)
	b.ReportAllocs()
	for b.Loop() {
		w.now += 20 * ms
		w.SetCatalogue(catalogue())
		w.schedule()
	}
}

// BenchmarkNewVersion measures a version of thousands of queues beside a backlog of 1,000 jobs, which it
// moves to another service and back.
func BenchmarkNewVersion(b *testing.B) {
	const queues, jobs = 3000, 1000
	versions := make([]workload.Catalogue, 2)
	for i := range versions {
		for n := range queues {
			versions[i].Queues = append(versions[i].Queues, workload.Queue{Name: id(n), Host: "host.example", Prefix: "/" + id(n) + "/", Service: []string{"S", "T"}[i], MaxAttempts: 3, Stretch: 2, Allowance: second})
		}
	}
	w := newWorld(0)
	for n := range jobs {
		j := job(id(n), id(n%queues), 4, nil)
		j.Policy = versions[0].Queues[n].Policy(1)
		w.Submit(w.now, j)
	}
	version := int64(1)
	b.ReportAllocs()
	for b.Loop() {
		version++
		next := versions[version%2]
		next.Version = version
		w.SetCatalogue(next)
		w.TakeOutput()
	}
}
