package load

import (
	"fmt"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// size returns a task size in processor cores and GiB of memory.
func size(cores float64, gibibytes int64) task.Size {
	return task.Size{Processors: int64(cores * float64(task.Processor)), Memory: gibibytes * task.Gibibyte}
}

// fraction returns 1/n of the processors and memory of the cell's first worker.
func (c Cell) fraction(n int64) task.Size {
	w := c.Workers[0].Capacity
	return task.Size{Processors: w.Processors / n, Memory: w.Memory / n}
}

// plainStreams returns the work of an ordinary day: urgent and ordinary requests,
// services, batch runs and all-at-once jobs. Some of the requests and batch runs
// are not idempotent. At pace 1 the work uses about half of the cell.
func plainStreams(c Cell, length time.Duration, pace float64) []stream {
	slots := float64(c.Capacity().Slots)
	seconds := func(least, most int) span[time.Duration] {
		return span[time.Duration]{time.Duration(least) * time.Second, time.Duration(most) * time.Second}
	}
	return []stream{
		{family: "lookup", kind: task.Request, urgent: true, teams: 8, rate: 40 * pace, until: length,
			size: size(0.25, 0).Plus(task.Size{Memory: 128 * task.Mebibyte}), runTime: span[time.Duration]{20 * time.Millisecond, 200 * time.Millisecond}},
		{family: "hold", kind: task.Request, urgent: true, unsafe: true, teams: 8, rate: 5 * pace, until: length,
			size: size(0.25, 0).Plus(task.Size{Memory: 128 * task.Mebibyte}), runTime: span[time.Duration]{20 * time.Millisecond, 200 * time.Millisecond}},
		{family: "preview", kind: task.Request, teams: 4, rate: 10 * pace, until: length,
			size: size(0.5, 0).Plus(task.Size{Memory: 256 * task.Mebibyte}), runTime: span[time.Duration]{200 * time.Millisecond, time.Second}},
		{family: "portal", kind: task.Service, teams: 4, rate: 160 / length.Seconds(), until: length / 2,
			tasks: span[int]{1, 2}, size: c.fraction(32)},
		{family: "reconcile", kind: task.Batch, teams: 6, rate: slots * 0.4 / 20 / 2 * pace, until: length,
			tasks: span[int]{1, 3}, size: c.fraction(10), runTime: seconds(5, 35)},
		{family: "statement", kind: task.Batch, unsafe: true, teams: 2, rate: pace, until: length,
			tasks: span[int]{1, 1}, size: c.fraction(20), runTime: seconds(5, 15)},
		{family: "nightly", kind: task.Batch, teams: 1, burst: int(slots / 8), from: length / 4,
			tasks: span[int]{2, 2}, size: c.fraction(12), runTime: seconds(10, 20)},
		{family: "render", kind: task.AllAtOnce, teams: 3, rate: 0.1 * pace, until: length,
			tasks: span[int]{4, 16}, size: c.fraction(10), runTime: seconds(10, 20)},
	}
}

// smallWorkerProcessors is the maximum number of processors of a worker that
// counts as small.
const smallWorkerProcessors = 16 * task.Processor

// backlogStreams returns batch work of several shapes that amounts to factor
// times the cell's capacity. Depending on the family, true sizes differ from
// the declared ones by up to a factor of about errorFactor; 1 means that declared
// sizes are exact.
func backlogStreams(c Cell, length time.Duration, factor, errorFactor float64) []stream {
	w := c.Workers[0].Capacity
	// Each task takes a larger part of a small worker.
	multiple := int64(1)
	if w.Processors <= smallWorkerProcessors {
		multiple = 2
	}
	part := func(processors, memory int64) task.Size {
		return task.Size{Processors: multiple * w.Processors / processors, Memory: multiple * w.Memory / memory}
	}
	shapes := []struct {
		family string
		size   task.Size
		use    float64
	}{
		{"processor", part(4, 16), 2 / (1 + errorFactor)},
		{"memory", part(16, 4), 1 / errorFactor},
		{"even", part(8, 8), 1},
		{"large", part(2, 3), 1},
		{"small", part(12, 12), errorFactor},
	}
	run := span[time.Duration]{10 * time.Second, 50 * time.Second}
	var streams []stream
	for _, s := range shapes {
		share := s.size.DominantShare(w) * 30
		rate := factor * float64(len(c.Workers)) / float64(len(shapes)) / share
		streams = append(streams, stream{family: s.family, kind: task.Batch, teams: 3, rate: rate, until: length,
			size: s.size, runTime: run, use: s.use})
	}
	return streams
}

// Plain is an ordinary day, including the nightly runs, compressed into 4
// minutes.
func Plain(c Cell, seed uint64) Load {
	length := 4 * time.Minute
	return Load{Name: "Plain" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, plainStreams(c, length, 1))}
}

// Peak adds 3,000 short requests a second to a plain day.
func Peak(c Cell, seed uint64) Load {
	length := 20 * time.Second
	streams := append(plainStreams(c, length, 1), stream{family: "weighbridge", kind: task.Request, teams: 10,
		rate: 3000, from: 5 * time.Second, until: 15 * time.Second, size: task.Size{Processors: 100, Memory: 64 * task.Mebibyte},
		runTime: span[time.Duration]{20 * time.Millisecond, 60 * time.Millisecond}})
	return Load{Name: "Peak" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// WrongSizes is a backlog whose declared sizes are up to 4 times too large or
// too small, depending on the family.
func WrongSizes(c Cell, seed uint64) Load {
	length := 3 * time.Minute
	return Load{Name: "WrongSizes" + c.Name, Seed: seed, Cell: c, Length: length, Saturated: true,
		Items: generate(seed, backlogStreams(c, length, 1.2, 4))}
}

// Backlog is batch work of several shapes that exceeds the cell's capacity by a
// third.
func Backlog(c Cell, seed uint64) Load {
	length := 3 * time.Minute
	return Load{Name: "Backlog" + c.Name, Seed: seed, Cell: c, Length: length, Saturated: true,
		Items: generate(seed, backlogStreams(c, length, 1.33, 1))}
}

// Halves mixes batch work for most of the cell with all-at-once jobs that
// occupy up to half of the workers.
func Halves(c Cell, seed uint64) Load {
	length := 4 * time.Minute
	half := len(c.Workers) / 2
	streams := append(backlogStreams(c, length, 0.8, 1), stream{family: "dome", kind: task.AllAtOnce, teams: 2,
		rate: 1.0 / 20, until: length - time.Minute, tasks: span[int]{half / 2, half}, size: c.fraction(1),
		runTime: span[time.Duration]{5 * time.Second, 10 * time.Second}})
	streams = append(streams, plainStreams(c, length, 1)[:2]...)
	return Load{Name: "Halves" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// LostRack is a plain day on which a rack is lost just after the nightly runs
// arrive.
func LostRack(c Cell, seed uint64) Load {
	l := Plain(c, seed)
	l.Name = "RackLost" + c.Name
	l.Faults = []Fault{{Kind: RackLost, At: l.Length/4 + time.Second, Target: c.Workers[0].Rack}}
	return l
}

// LostRackAtPeak is Peak with a rack lost halfway through.
func LostRackAtPeak(c Cell, seed uint64) Load {
	l := Peak(c, seed)
	l.Name = "RackLostAtPeak" + c.Name
	l.Faults = []Fault{{Kind: RackLost, At: l.Length / 2, Target: c.Workers[0].Rack}}
	return l
}

// Cancellations is a plain day with 3,000 batch runs that arrive together and
// that their callers cancel together.
func Cancellations(c Cell, seed uint64) Load {
	length := 2 * time.Minute
	streams := append(plainStreams(c, length, 1), stream{family: "wave", kind: task.Batch, teams: 1, burst: 3000,
		from: 20 * time.Second, tasks: span[int]{1, 1}, size: c.fraction(8),
		runTime: span[time.Duration]{30 * time.Second, 60 * time.Second}, cancelAt: 40 * time.Second})
	return Load{Name: "Cancellations" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// FailingWorkers is a plain day on which three workers fail every attempt that
// they start, from FailingWorkersStart on.
func FailingWorkers(c Cell, seed uint64) Load {
	l := Plain(c, seed)
	l.Name = "FailingWorkers" + c.Name
	for _, i := range []int{1, 10, 20} {
		l.Faults = append(l.Faults, Fault{Kind: WorkerFails, At: FailingWorkersStart, Until: l.Length, Target: c.Workers[i].ID})
	}
	return l
}

// FailingWorkersStart is when the workers of FailingWorkers begin to fail.
const FailingWorkersStart = 10 * time.Second

// StoreOutage is 14 minutes at a quarter of the plain pace; for 10 of them the
// platform's table is down.
func StoreOutage(c Cell, seed uint64) Load {
	length := 14 * time.Minute
	return Load{Name: "StoreDown" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, plainStreams(c, length, 0.25)),
		Faults: []Fault{{Kind: StoreDown, At: 2 * time.Minute, Until: 12 * time.Minute}}}
}

// Twice offers requests for twice the cell's connections, a tenth of them
// urgent. Their timeout is 3 s.
func Twice(c Cell, seed uint64) Load {
	length := 10 * time.Second
	run := span[time.Duration]{500 * time.Millisecond, 1500 * time.Millisecond}
	rate := 2 * float64(c.Capacity().Connections)
	small := task.Size{Processors: 50, Memory: 16 * task.Mebibyte}
	return Load{Name: "Twice" + c.Name, Seed: seed, Cell: c, Length: length, Saturated: true, Items: generate(seed, []stream{
		{family: "ordinary", kind: task.Request, teams: 20, rate: rate * 0.9, until: length, size: small, runTime: run, timeout: 3 * time.Second},
		{family: "lookup", kind: task.Request, urgent: true, teams: 5, rate: rate * 0.1, until: length, size: small, runTime: run, timeout: 3 * time.Second},
	})}
}

// Figures of the projected size of the cell.
const (
	// ProjectedWorkers is the number of workers.
	ProjectedWorkers = 6800
	// ProjectedRunningTasks is the number of running tasks, a fifth of them of
	// services.
	ProjectedRunningTasks = 56000
	// ProjectedStartRate is the number of task starts per second at the peak.
	ProjectedStartRate = 550
	// ProjectedTeams is the number of teams.
	ProjectedTeams = 540
)

// ProjectedScale is the projected size, or the given part of it, with a rack
// lost at the peak: services and runs fill the cell in the first 20 s, and then
// tasks start at the peak rate.
func ProjectedScale(scale float64, seed uint64) Load {
	c := ProjectedCell(int(ProjectedWorkers * scale))
	fill, length := 20*time.Second, 50*time.Second
	starts := ProjectedStartRate * scale
	services := ProjectedRunningTasks * scale / 5
	runs := ProjectedRunningTasks*scale - services
	teams := max(1, int(ProjectedTeams*scale)/4)
	long := span[time.Duration]{40 * time.Second, 3 * time.Minute}
	streams := []stream{
		{family: "portal", kind: task.Service, teams: teams, rate: services / 10 / fill.Seconds(), until: fill,
			tasks: span[int]{10, 10}, size: c.fraction(20)},
		{family: "fill", kind: task.Batch, teams: teams, rate: runs / 20 / fill.Seconds(), until: fill,
			tasks: span[int]{20, 20}, size: c.fraction(18), runTime: long},
		{family: "run", kind: task.Batch, teams: teams, rate: starts * 0.6 / 5, from: fill, until: length,
			tasks: span[int]{5, 5}, size: c.fraction(18), runTime: long},
		{family: "lookup", kind: task.Request, urgent: true, teams: teams, rate: starts * 0.4, from: fill, until: length,
			size: task.Size{Processors: 250, Memory: 128 * task.Mebibyte}, runTime: span[time.Duration]{50 * time.Millisecond, 500 * time.Millisecond}},
	}
	return Load{Name: fmt.Sprintf("Letter%dWorkers", len(c.Workers)), Seed: seed, Cell: c, Length: length, Items: generate(seed, streams),
		Faults: []Fault{{Kind: RackLost, At: 30 * time.Second, Target: c.Workers[0].Rack}}}
}
