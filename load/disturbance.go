package load

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Times of the loads of this file.
const (
	// surgeLength is the duration of Surge's overload. Work that arrives from
	// surgeRecovered on should no longer be affected by it.
	surgeLength    = 10 * time.Second
	surgeRecovered = 40 * time.Second
	// hammerFrom and hammerUntil are the start and the end of the excess load
	// in Hammer.
	hammerFrom  = 20 * time.Second
	hammerUntil = 40 * time.Second
)

// hammerFactor is the load that the hammering team offers of batch tasks, and
// again of requests, as a multiple of the cell's capacity.
const hammerFactor = 2

// hammerBackgroundPace is the pace of the other teams. It leaves capacity for
// the hammering team's share.
const hammerBackgroundPace = 0.5

// Hammer is a plain day at a reduced pace, without the nightly runs, on which one
// team offers hammerFactor times the cell's capacity of batch tasks, and again of
// requests.
func Hammer(c Cell, seed uint64) Load { return hammer("Hammer", c, seed, false) }

// UrgentHammer is Hammer with a team that marks all its requests as urgent.
func UrgentHammer(c Cell, seed uint64) Load { return hammer("UrgentHammer", c, seed, true) }

func hammer(name string, c Cell, seed uint64, urgent bool) Load {
	length := 90 * time.Second
	capacity := c.Capacity()
	run := span[time.Duration]{5 * time.Second, 15 * time.Second}
	background := slices.DeleteFunc(plainStreams(c, length, hammerBackgroundPace), func(s stream) bool { return s.burst > 0 })
	streams := append(background,
		stream{family: "hammer", kind: task.Batch, teams: 1, rate: hammerFactor * float64(capacity.Slots) / 10,
			from: hammerFrom, until: hammerUntil, tasks: span[int]{1, 1}, size: c.fraction(8), runTime: run, reportClass: Hammering},
		stream{family: "hammer", name: "hammer-request", kind: task.Request, urgent: urgent, teams: 1, rate: hammerFactor * float64(capacity.Connections),
			from: hammerFrom, until: hammerUntil, size: task.Size{Processors: 50, Memory: 16 * task.Mebibyte},
			runTime: span[time.Duration]{500 * time.Millisecond, 1500 * time.Millisecond}, timeout: 3 * time.Second, reportClass: Hammering})
	return Load{Name: name + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// NeverRuns is a plain day with jobs that can never run: tasks larger than a
// worker, and all-at-once jobs with more tasks than the cell has capacity for.
func NeverRuns(c Cell, seed uint64) Load {
	length := 90 * time.Second
	w := c.Workers[0].Capacity
	tooLarge := task.Size{Processors: w.Processors + 1, Memory: w.Memory / 8}
	streams := append(plainStreams(c, length, 1),
		stream{family: "large", kind: task.Batch, teams: 4, rate: 20, from: 5 * time.Second, until: length,
			size: tooLarge, runTime: span[time.Duration]{time.Second, time.Second}, reportClass: NeverFits},
		stream{family: "largerequest", kind: task.Request, urgent: true, teams: 4, rate: 20, from: 5 * time.Second, until: length,
			size: tooLarge, runTime: span[time.Duration]{time.Second, time.Second}, reportClass: NeverFits},
		stream{family: "wide", kind: task.AllAtOnce, teams: 4, rate: 5, from: 5 * time.Second, until: length,
			tasks: span[int]{len(c.Workers) + 1, len(c.Workers) + 10}, size: c.fraction(1),
			runTime: span[time.Duration]{time.Second, time.Second}, reportClass: NeverFits})
	return Load{Name: "NeverRuns" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// Surge offers requests for twice the cell's connections during surgeLength and
// for half of them afterwards. The callers' timeout is long, so that refused
// callers retry.
func Surge(c Cell, seed uint64) Load {
	length := time.Minute
	run := span[time.Duration]{500 * time.Millisecond, 1500 * time.Millisecond}
	connections := float64(c.Capacity().Connections)
	small := task.Size{Processors: 50, Memory: 16 * task.Mebibyte}
	request := func(name string, rate float64, from, until time.Duration, apart Class) []stream {
		ordinary := stream{family: "ordinary", name: "ordinary-" + name, kind: task.Request, teams: 1, rate: rate * 0.9,
			from: from, until: until, size: small, runTime: run, timeout: 20 * time.Second, reportClass: apart}
		urgent := ordinary
		urgent.family, urgent.name, urgent.urgent, urgent.teams, urgent.rate = "lookup", "lookup-"+name, true, 5, rate*0.1
		return []stream{ordinary, urgent}
	}
	streams := request("surge", 2*connections, 0, surgeLength, "")
	streams = append(streams, request("ebb", connections/2, surgeLength, surgeRecovered, "")...)
	streams = append(streams, request("after", connections/2, surgeRecovered, length, Afterwards)...)
	return Load{Name: "Surge" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}
