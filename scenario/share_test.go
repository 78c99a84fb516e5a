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

// Shape of a contest.
const (
	// contestCallers is the number of callers of the team that hammers, each of
	// which has one batch run under way at any time.
	contestCallers = 140
	// contestTasks is the number of batch runs of the modest team, one each
	// contestPause.
	contestTasks = 50
	contestPause = 200 * time.Millisecond
	// contestRun is the mean length of a run.
	contestRun = 2 * time.Second
	// contestPart is one over the part of the hammering team's median wait that
	// the modest team may wait.
	contestPart = 3
)

// contest is two teams that use a cell at once.
type contest struct {
	load   *load
	random *rand.Rand
	entry  string

	mu sync.Mutex
	// waits holds how long the runs of each team waited, from their first try.
	waits map[string][]time.Duration
	// lost tells of the runs that did not end, but for those of the team that hammers.
	lost []string
}

// contestCommand lets a team whose partition is owned by the owner of most racks
// hammer, and one of an owner of fewer offer a sixth of what eight workers run:
//
//	contest ENTRY...
//
// Nine in ten of the modest team's runs must wait for a third at most of what the
// other team's do at the median, and the dump of that team's owner must tell of the
// modest team's need.
func contestCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := &contest{load: &load{cell: cellOf(ts)}, random: rand.New(rand.NewPCG(loadSeed, 0)), entry: args[0], waits: map[string][]time.Duration{}}
	hammering, modest, owner := contestTeams(ts, args)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers, tasks sync.WaitGroup
	for i := range contestCallers {
		callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.run(ctx, hammering, fmt.Sprintf("hammer-%d-%d", i, n))
			}
		})
	}
	told := false
	for n := range contestTasks {
		time.Sleep(contestPause)
		tasks.Go(func() { c.insist(ctx, modest, fmt.Sprintf("modest-%d", n)) })
		told = told || needIsTold(ts, owner, modest)
	}
	tasks.Wait()
	cancel()
	callers.Wait()
	few, many := c.waits[modest], c.waits[hammering]
	if len(few) < contestTasks {
		ts.Fatalf("%d of %d runs of the modest team ended; the others: %q", len(few), contestTasks, c.lost)
	}
	ts.Logf("contest: seed %d, %s waits %v p50, %v p90, %v at most in %d runs, %s %v, %v, %v in %d runs", loadSeed,
		modest, quantile(few, 50), quantile(few, 90), quantile(few, 100), len(few),
		hammering, quantile(many, 50), quantile(many, 90), quantile(many, 100), len(many))
	if quantile(few, 90) > quantile(many, 50)/contestPart {
		ts.Fatalf("the modest team waits as the one that hammers")
	}
	if !told {
		ts.Fatalf("%s was never told of the need of %s", owner, modest)
	}
}

// run submits one batch run once and notes how long it waited.
func (c *contest) run(ctx context.Context, team, id string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	answer, err := c.try(ctx, team, id, c.length(), true)
	if err != nil || answer.State != task.Ran {
		return
	}
	c.note(team, time.Duration(answer.Waited))
}

// insist carries one batch run through as a patient caller does: it comes back with
// the same ID when the answer says so, which an entry host may do at any time as the
// table takes longer than usual. Its wait lasts from its first try.
func (c *contest) insist(ctx context.Context, team, id string) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	length := c.length()
	start := time.Now()
	for first := true; ; first = false {
		before := time.Since(start)
		answer, err := c.try(ctx, team, id, length, first)
		if err == nil && answer.State == task.Ran {
			c.note(team, before+time.Duration(answer.Waited))
			return
		}
		if err != nil || answer.RetryAfter == 0 {
			c.lose(fmt.Sprintf("%s after %v: %+v, %v", id, time.Since(start), answer, err))
			return
		}
		time.Sleep(time.Duration(answer.RetryAfter))
	}
}

func (c *contest) try(ctx context.Context, team, id string, length time.Duration, first bool) (caller.Answer, error) {
	return c.load.submit(ctx, c.entry, submission{Team: team, ID: id, Kind: task.Batch, Tasks: 1, Idempotent: true, FirstTry: first, RunTime: length})
}

// length draws the length of a run.
func (c *contest) length() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return contestRun/2 + time.Duration(c.random.Int64N(int64(contestRun)))
}

func (c *contest) note(team string, waited time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waits[team] = append(c.waits[team], waited)
}

func (c *contest) lose(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost = append(c.lost, what)
}

// contestTeams returns two teams with partitions of different owners, and the owner
// of the first one, which owns most racks; that of the second owns fewest.
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

// needIsTold reports whether an entry host knows that a team finds no room at
// another one.
func needIsTold(ts *testscript.TestScript, entry, team string) bool {
	for _, needs := range mustDump(ts, entry).Work.Elsewhere {
		for _, n := range needs {
			if n.Team == team {
				return true
			}
		}
	}
	return false
}

// concurrentCommand submits batch runs of one task and checks that never more than a
// number of them ran at once, and that so many did:
//
//	concurrent ENTRY TEAM RUNS MOST
func concurrentCommand(ts *testscript.TestScript, _ bool, args []string) {
	runs, err := strconv.Atoi(args[2])
	ts.Check(err)
	most, err := strconv.Atoi(args[3])
	ts.Check(err)
	team := args[1]
	c := &contest{load: &load{cell: cellOf(ts)}, random: rand.New(rand.NewPCG(loadSeed, 1)), entry: args[0], waits: map[string][]time.Duration{}}
	var tasks sync.WaitGroup
	for n := range runs {
		tasks.Go(func() { c.insist(context.Background(), team, fmt.Sprintf("concurrent-%d", n)) })
	}
	tasks.Wait()
	if len(c.waits[team]) < runs {
		ts.Fatalf("%d of %d runs ended; the others: %q", len(c.waits[team]), runs, c.lost)
	}
	if peak := cellOf(ts).readHistory(ts).peak(team); peak != most {
		ts.Fatalf("%d runs of %s were under way at once, want %d", peak, team, most)
	}
}

// peak returns the most runs of a team that were under way at the same time.
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
