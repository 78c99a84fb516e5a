package scenario_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/task"
)

// Parameters of a contest.
const (
	// contestCallers is the number of callers of the hammering team, each of which
	// keeps one batch run in flight.
	contestCallers = 140
	// contestRuns is the number of batch runs of the modest team, one every
	// contestInterval.
	contestRuns     = 50
	contestInterval = 200 * time.Millisecond
	// contestRunTime is the mean run time of a batch run.
	contestRunTime = 2 * time.Second
	// contestWaitDivisor divides the hammering team's median wait to give the bound
	// on the modest team's 90th percentile.
	contestWaitDivisor = 3
)

// contest is a load of batch runs through one entry host, with the wait of each run.
type contest struct {
	load   *load
	random *rand.Rand
	entry  string

	mu sync.Mutex
	// waits holds how long the runs of each team waited, from their first try.
	waits map[string][]time.Duration
	// failures describes the runs that did not end, except those of submitOnce.
	failures []string
}

// contestCommand runs two teams at once: a hammering team, whose partition belongs to
// the owner of most racks, and a modest team, whose partition belongs to an owner of
// fewer and which offers a sixth of what eight workers can run:
//
//	contest ENTRY...
//
// Nine in ten of the modest team's runs must wait at most a third of the hammering
// team's median wait, and the dump of the hammering team's owner must show the modest
// team's need.
func contestCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := &contest{load: &load{cell: cellOf(ts)}, random: rand.New(rand.NewPCG(loadSeed, 0)), entry: args[0], waits: map[string][]time.Duration{}}
	hammering, modest, owner := contestTeams(ts, args)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, tasks sync.WaitGroup
	for i := range contestCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.submitOnce(ctx, hammering, fmt.Sprintf("hammer-%d-%d", i, n))
			}
		})
	}
	needReported := false
	for n := range contestRuns {
		time.Sleep(contestInterval)
		tasks.Go(func() { c.submitUntilRan(ctx, modest, fmt.Sprintf("modest-%d", n)) })
		needReported = needReported || reportsNeed(ts, owner, modest)
	}
	tasks.Wait()
	cancel()
	callers.Wait()
	modestWaits, hammeringWaits := c.waits[modest], c.waits[hammering]
	if len(modestWaits) < contestRuns {
		ts.Fatalf("%d of %d runs of the modest team ended; failures: %q", len(modestWaits), contestRuns, c.failures)
	}
	ts.Logf("contest: seed %d, %s waits %v p50, %v p90, %v at most in %d runs, %s %v, %v, %v in %d runs", loadSeed,
		modest, quantile(modestWaits, 50), quantile(modestWaits, 90), quantile(modestWaits, 100), len(modestWaits),
		hammering, quantile(hammeringWaits, 50), quantile(hammeringWaits, 90), quantile(hammeringWaits, 100), len(hammeringWaits))
	if quantile(modestWaits, 90) > quantile(hammeringWaits, 50)/contestWaitDivisor {
		ts.Fatalf("the modest team's wait at p90 exceeds the allowed part of the hammering team's median wait")
	}
	if !needReported {
		ts.Fatalf("the dump of %s never showed the need of %s", owner, modest)
	}
}

// submitOnce submits one batch run without retries and records its wait if it ran.
func (c *contest) submitOnce(ctx context.Context, team, id string) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	answer, err := c.submit(ctx, team, id, c.drawRunTime(), true)
	if err != nil || answer.State != task.Ran {
		return
	}
	c.record(team, time.Duration(answer.Waited))
}

// submitUntilRan submits one batch run and retries with the same ID for as long as
// the answer has RetryAfter, which an entry host may send at any time when the table
// is slow. Its wait counts from the first try.
func (c *contest) submitUntilRan(ctx context.Context, team, id string) {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	length := c.drawRunTime()
	start := time.Now()
	for first := true; ; first = false {
		before := time.Since(start)
		answer, err := c.submit(ctx, team, id, length, first)
		if err == nil && answer.State == task.Ran {
			c.record(team, before+time.Duration(answer.Waited))
			return
		}
		if err != nil || answer.RetryAfter == 0 {
			c.recordFailure(fmt.Sprintf("%s after %v: %+v, %v", id, time.Since(start), answer, err))
			return
		}
		time.Sleep(time.Duration(answer.RetryAfter))
	}
}

func (c *contest) submit(ctx context.Context, team, id string, length time.Duration, first bool) (caller.Answer, error) {
	return c.load.submit(ctx, c.entry, submission{Team: team, ID: id, Kind: task.Batch, Tasks: 1, Idempotent: true, FirstTry: first, RunTime: length})
}

// drawRunTime draws a random run time.
func (c *contest) drawRunTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return contestRunTime/2 + time.Duration(c.random.Int64N(int64(contestRunTime)))
}

func (c *contest) record(team string, waited time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[team] = append(c.waits[team], waited)
}

func (c *contest) recordFailure(description string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, description)
}

// contestTeams returns two teams whose partitions have different owners, and the
// owner of the first. Of the owners of all teams, that of the first team owns most
// racks and that of the second fewest.
func contestTeams(ts *testscript.TestScript, entries []string) (first, second, owner string) {
	owners, racks := map[string]string{}, map[string]int{}
	for _, name := range entries {
		d := mustDump(ts, name)
		for _, p := range d.Partitions {
			owners[p.Name] = name
		}
		racks[name] = d.RacksTotal
	}
	layout := partition.Layout{Regions: []string{"centro"}, PerRegion: 4}
	ownerOf := func(team string) string { return owners[layout.PartitionOf(task.Key{Team: team}, "", 0)] }
	var teams []string
	for i := range loadTeams {
		teams = append(teams, loadTeam(i))
	}
	slices.SortStableFunc(teams, func(a, b string) int { return racks[ownerOf(b)] - racks[ownerOf(a)] })
	first, second = teams[0], teams[len(teams)-1]
	if ownerOf(first) == ownerOf(second) {
		ts.Fatalf("all partitions are owned by %s", ownerOf(first))
	}
	ts.Logf("contest: %s of %s with %d racks hammers, %s of %s with %d is modest",
		first, ownerOf(first), racks[ownerOf(first)], second, ownerOf(second), racks[ownerOf(second)])
	return first, second, ownerOf(first)
}

func mustDump(ts *testscript.TestScript, entry string) operator.Dump {
	d, err := cellOf(ts).dump(entry)
	ts.Check(err)
	return d
}

// reportsNeed reports whether the dump of an entry host shows that a team lacks
// capacity at another one.
func reportsNeed(ts *testscript.TestScript, entry, team string) bool {
	for _, needs := range mustDump(ts, entry).Work.Elsewhere {
		for _, n := range needs {
			if n.Team == team {
				return true
			}
		}
	}
	return false
}

// concurrentCommand submits batch runs of one task and checks that the peak number of
// concurrent runs is exactly MOST:
//
//	concurrent ENTRY TEAM RUNS MOST
func concurrentCommand(ts *testscript.TestScript, _ bool, args []string) {
	runs, err := strconv.Atoi(args[2])
	ts.Check(err)
	wantPeak, err := strconv.Atoi(args[3])
	ts.Check(err)
	team := args[1]
	c := &contest{load: &load{cell: cellOf(ts)}, random: rand.New(rand.NewPCG(loadSeed, 1)), entry: args[0], waits: map[string][]time.Duration{}}
	var tasks sync.WaitGroup
	for n := range runs {
		tasks.Go(func() { c.submitUntilRan(context.Background(), team, fmt.Sprintf("concurrent-%d", n)) })
	}
	tasks.Wait()
	if len(c.waits[team]) < runs {
		ts.Fatalf("%d of %d runs ended; failures: %q", len(c.waits[team]), runs, c.failures)
	}
	if peak := cellOf(ts).readHistory(ts).peak(team); peak != wantPeak {
		ts.Fatalf("%d runs of %s were in flight at the peak, want %d", peak, team, wantPeak)
	}
}

// peak returns the maximum number of concurrent runs of a team.
func (h *history) peak(team string) int {
	type change struct {
		at   time.Time
		runs int
	}
	var changes []change
	for work, runs := range h.byWork {
		if !strings.HasPrefix(work, team+"/") {
			continue
		}
		for _, r := range runs {
			changes = append(changes, change{r.start, 1}, change{r.end, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	now, peak := 0, 0
	for _, c := range changes {
		now += c.runs
		peak = max(peak, now)
	}
	return peak
}
