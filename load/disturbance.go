package load

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Times of the loads of this file.
const (
	// surgeLength is how long the overload of Surge lasts, and surgeSettled when
	// it should be over for those who arrive then.
	surgeLength    = 10 * time.Second
	surgeRecovered = 40 * time.Second
	// hammerFrom and hammerUntil bound the hammering.
	hammerFrom  = 20 * time.Second
	hammerUntil = 40 * time.Second
)

// hammerFactor is how many times what the whole cell can run the hammering team
// offers of batch tasks, and of requests.
const hammerFactor = 2

// hammerBackgroundPace is that of the other teams: they leave room for the share of the
// hammering one.
const hammerBackgroundPace = 0.5

// Hammer is a quiet day without the night's runs on which one team offers several
// times what the whole cell can run of batch tasks, and of requests.
func Hammer(c Cell, seed uint64) Load { return hammer("Hammer", c, seed, false) }

// UrgentHammer is Hammer with a team that says that all its requests are urgent.
func UrgentHammer(c Cell, seed uint64) Load { return hammer("UrgentHammer", c, seed, true) }

func hammer(name string, c Cell, seed uint64, urgent bool) Load {
	length := 90 * time.Second
	capacity := c.Capacity()
	run := span[time.Duration]{5 * time.Second, 15 * time.Second}
	quiet := slices.DeleteFunc(plainStreams(c, length, hammerBackgroundPace), func(s stream) bool { return s.burst > 0 })
	streams := append(quiet,
		stream{family: "hammer", kind: task.Batch, teams: 1, rate: hammerFactor * float64(capacity.Slots) / 10,
			from: hammerFrom, until: hammerUntil, tasks: span[int]{1, 1}, size: c.fraction(8), runTime: run, reportClass: Hammering},
		stream{family: "hammer", name: "hammer-request", kind: task.Request, urgent: urgent, teams: 1, rate: hammerFactor * float64(capacity.Connections),
			from: hammerFrom, until: hammerUntil, size: task.Size{Processors: 50, Memory: 16 * task.Mebibyte},
			runTime: span[time.Duration]{500 * time.Millisecond, 1500 * time.Millisecond}, timeout: 3 * time.Second, reportClass: Hammering})
	return Load{Name: name + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}

// NeverRuns is a plain day with jobs that can never run: tasks larger than a
// worker, and jobs that start all at once and are wider than the cell.
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

// Surge offers twice the connections of the cell for a while and half of them
// from then on. Its callers wait for long, so that those who were refused come
// back.
func Surge(c Cell, seed uint64) Load {
	length := time.Minute
	run := span[time.Duration]{500 * time.Millisecond, 1500 * time.Millisecond}
	whole := float64(c.Capacity().Connections)
	small := task.Size{Processors: 50, Memory: 16 * task.Mebibyte}
	request := func(name string, rate float64, from, until time.Duration, apart Class) []stream {
		ordinary := stream{family: "ordinary", name: "ordinary-" + name, kind: task.Request, teams: 1, rate: rate * 0.9,
			from: from, until: until, size: small, runTime: run, timeout: 20 * time.Second, reportClass: apart}
		urgent := ordinary
		urgent.family, urgent.name, urgent.urgent, urgent.teams, urgent.rate = "lookup", "lookup-"+name, true, 5, rate*0.1
		return []stream{ordinary, urgent}
	}
	streams := request("surge", 2*whole, 0, surgeLength, "")
	streams = append(streams, request("ebb", whole/2, surgeLength, surgeRecovered, "")...)
	streams = append(streams, request("after", whole/2, surgeRecovered, length, Afterwards)...)
	return Load{Name: "Surge" + c.Name, Seed: seed, Cell: c, Length: length, Items: generate(seed, streams)}
}
