package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Planned faults are work of an operator, which calls in flight must
// survive.
const (
	Terminate       Kind = "Terminate"
	Hangup          Kind = "Hangup"
	ChangeCatalogue Kind = "ChangeCatalogue"
	// DrainWorker makes a worker announce that it is draining; after the length of the fault
	// the worker ends and starts a new life.
	DrainWorker Kind = "DrainWorker"
	// ChangeKeys withdraws a key of an organisation and adds another; ChangeLimit changes its
	// limit.
	ChangeKeys  Kind = "ChangeKeys"
	ChangeLimit Kind = "ChangeLimit"
	// RenameRoute replaces a route of the callers by one of another name at the same path.
	RenameRoute Kind = "RenameRoute"

	Kill        Kind = "Kill"
	KillAll     Kind = "KillAll"
	Pause       Kind = "Pause"
	StoreDown   Kind = "StoreDown"
	StoreSlow   Kind = "StoreSlow"
	LoseAnswers Kind = "LoseAnswers"
	DropHistory Kind = "DropHistory"
	// Faults of links between a host and the store, a worker, or another host.
	CutStore      Kind = "CutStore"
	HoldStore     Kind = "HoldStore"
	SilenceStore  Kind = "SilenceStore"
	CutWorker     Kind = "CutWorker"
	HoldWorker    Kind = "HoldWorker"
	SilenceWorker Kind = "SilenceWorker"
	DelayWorkers  Kind = "DelayWorkers"
	CutHosts      Kind = "CutHosts"
	HoldHosts     Kind = "HoldHosts"
	SilenceHosts  Kind = "SilenceHosts"
	ResetLinks    Kind = "ResetLinks"
	// RestartWorker and MuteWorker are faults of the worker itself.
	RestartWorker Kind = "RestartWorker"
	MuteWorker    Kind = "MuteWorker"
	// CrashWorker ends a worker without a word on its connections, and starts it again under
	// its ID after the length of the fault.
	CrashWorker Kind = "CrashWorker"
)

var (
	// organisational are planned faults that are drawn apart from the others.
	organisational = []Kind{ChangeKeys, ChangeLimit}
	planned        = []Kind{Terminate, Hangup, ChangeCatalogue, DrainWorker}
	unplanned      = []Kind{
		Kill, Kill, KillAll, Pause, Pause, StoreDown, StoreSlow, LoseAnswers, LoseAnswers, DropHistory, CutStore, HoldStore, SilenceStore,
		CutWorker, HoldWorker, SilenceWorker, DelayWorkers, CutHosts, HoldHosts, SilenceHosts, ResetLinks, RestartWorker, MuteWorker,
	}
	// takeoverKinds are the faults of the owner after which another host takes the cell while
	// the first still runs.
	takeoverKinds  = append([]Kind{Pause}, storeLinkKinds...)
	storeLinkKinds = []Kind{CutStore, HoldStore, SilenceStore}
)

// Planned reports whether a fault is work of an operator.
func (k Kind) Planned() bool {
	return slices.Contains(planned, k) || slices.Contains(organisational, k) || k == RenameRoute
}

// Fault is a fault of a plan.
type Fault struct {
	// At is when the fault begins, relative to the start of the traffic.
	At time.Duration
	// Length is how long the fault continues; a process is down or paused for that long.
	Length time.Duration
	Kind   Kind
	// Host, Other and Worker are the numbers of the hosts and the worker concerned.
	Host, Other, Worker int
	// Owner reports whether the fault concerns the owner of the cell at its beginning
	// instead of Host, if there is an owner.
	Owner bool
	// All reports whether a fault of the link to a worker concerns the links to all workers.
	All bool
	// There and Back report whether a silent connection loses data to and from the other
	// end.
	There, Back bool
	// Answers is the number of responses of the store that are lost.
	Answers int
	// Organisation is the number of the organisation whose keys or limit change, and Limit its
	// new limit in thousandths of a processor.
	Organisation int
	Limit        int64
	// Route is the number of the route that is renamed.
	Route int
}

const (
	// Bounds of the bursts of faults and of the calm periods without faults between them. A
	// calm period is longer than calmWindow, so that the rules with a time bound are checked
	// too.
	minBurst, maxBurst = 2 * time.Second, 7 * time.Second
	minCalm, maxCalm   = 5 * time.Second, 8 * time.Second
	// meanFaultInterval is the mean time between two faults of a burst. It is far below the
	// length of most faults, so that they overlap.
	meanFaultInterval = 400 * time.Millisecond
	// minFault and maxFault bound the length of a fault. Leases of workers lapse within 6 s.
	minFault, maxFault = 100 * time.Millisecond, 8 * time.Second
	// plannedBurstRatio is the share of bursts that consist of planned work only.
	plannedBurstRatio = 0.2
	// kindsPerBurst is small enough that faults of all kinds of a burst overlap.
	kindsPerBurst = 5
	// ownerRatio is the share of faults that concern the owner, whose loss has the highest
	// cost, and allWorkersRatio the share of the faults of worker links that concern all
	// workers.
	ownerRatio, allWorkersRatio = 0.5, 0.3
	maxLostAnswers              = 5
	// takeoverStream is the stream of random numbers for takeovers; the other faults of a
	// seed don't depend on it.
	takeoverStream = 1 << 32
	// organisationStream is that for changes of organisations.
	organisationStream = 2 << 32
	// renameStream is that for routes that are renamed, with minRenameInterval and
	// maxRenameInterval between two of them. Steps take a second.
	renameStream                         = 3 << 32
	minRenameInterval, maxRenameInterval = 500 * time.Millisecond, 4 * time.Second
	// Bounds of the time between two changes of organisations, and of their limits, in
	// processors. Callers keep about half of 64 processors busy, so that each of 3 organisations
	// wants more than its limit; a step takes 5 at most.
	minOrganisationInterval, maxOrganisationInterval = time.Second, 5 * time.Second
	minLimit, maxLimit                               = 6, 10
	// limitedRatio is the part of the run after which there are no limits, so that the jobs that
	// wait for them end in time.
	limitedRatio = 0.7
	// takeoverRatio is the share of bursts with a series of takeovers.
	takeoverRatio = 0.6
	// Bounds of the time between two takeovers of a series, and of the length of their faults,
	// which is above the time in which an owner is replaced.
	minTakeoverInterval, maxTakeoverInterval = 900 * time.Millisecond, 2500 * time.Millisecond
	minTakeoverFault, maxTakeoverFault       = 1200 * time.Millisecond, 4 * time.Second
	// crashInterval is the time between two series of crashes, in which leases lapse and the
	// tasks that were lost run again.
	crashInterval = 14 * time.Second
	// crashRatio is the share of the workers that crash in a series.
	crashRatio = 0.5
	// Bounds of the time for which a crashed worker is down, and of that for which it may be
	// reached after it. The next fault begins while a lease by the clock of its earlier life
	// would last longer than the owner of the cell counts.
	minCrash, maxCrash     = 200 * time.Millisecond, 800 * time.Millisecond
	minReached, maxReached = 600 * time.Millisecond, 1800 * time.Millisecond
	// Bounds of the time for which it then leaves all calls unanswered.
	minMute, maxMute = 5 * time.Second, 8 * time.Second
	// Bounds of the calm periods of a run with takeovers only.
	minTakeoverCalm, maxTakeoverCalm = calmWindow + maxCancelDelay + maxStopTime + time.Second, 11 * time.Second
)

// NewPlan draws the faults of a run from a seed, in order. The first burst begins 1 s
// after the start or later, and the last fault ends within the length.
func NewPlan(seed uint64, length time.Duration, hosts, workers int) []Fault {
	r, takeovers := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, takeoverStream))
	var plan []Fault
	at := time.Second
	for at < length {
		kinds := drawBurstKinds(r)
		end := min(at+between(r, minBurst, maxBurst), length)
		if takeovers.Float64() < takeoverRatio && !isPlanned(kinds) {
			plan = append(plan, drawTakeovers(takeovers, at, end, length, hosts)...)
		}
		for at += between(r, 0, 2*meanFaultInterval); at < end; at += between(r, 0, 2*meanFaultInterval) {
			f := drawFault(r, kinds, hosts, workers)
			f.At, f.Length = at, min(f.Length, length-at)
			plan = append(plan, f)
		}
		at = end + between(r, minCalm, maxCalm)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// NewTakeoverPlan draws the faults of a run with takeovers in short succession only, in
// order. Its calm periods are long enough for all that a cancelled job runs on in one to be
// found.
func NewTakeoverPlan(seed uint64, length time.Duration, hosts int) []Fault {
	r := rand.New(rand.NewPCG(seed, takeoverStream))
	var plan []Fault
	for at := time.Second; at < length; at += maxTakeoverFault + between(r, minTakeoverCalm, maxTakeoverCalm) {
		end := min(at+between(r, minBurst, maxBurst), length)
		plan = append(plan, drawTakeovers(r, at, end, length, hosts)...)
		at = end
	}
	return plan
}

// NewCrashPlan draws the faults of a run in which workers start again under their IDs and soon
// cannot be reached, in order.
func NewCrashPlan(seed uint64, length time.Duration, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, takeoverStream))
	var plan []Fault
	for at := 4 * time.Second; at < length; at += crashInterval {
		for w := range workers {
			if r.Float64() >= crashRatio {
				continue
			}
			crash := Fault{Kind: CrashWorker, At: at, Length: between(r, minCrash, maxCrash), Worker: w, There: true, Back: true}
			mute := Fault{Kind: MuteWorker, At: at + crash.Length + between(r, minReached, maxReached), Length: between(r, minMute, maxMute), Worker: w, There: true}
			for _, f := range []Fault{crash, mute} {
				if f.At < length {
					f.Length = min(f.Length, length-f.At)
					plan = append(plan, f)
				}
			}
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// NewOrganisationPlan draws the changes of organisations in a run, in order: of their keys and, if
// they have limits, of those.
func NewOrganisationPlan(seed uint64, length time.Duration, organisations int, limits bool) []Fault {
	r := rand.New(rand.NewPCG(seed, organisationStream))
	var plan []Fault
	unlimited := time.Duration(limitedRatio * float64(length))
	for at := minOrganisationInterval; at < length; at += between(r, minOrganisationInterval, maxOrganisationInterval) {
		f := Fault{Kind: ChangeKeys, At: at, Organisation: r.IntN(organisations), There: true}
		if limits && at < unlimited && r.IntN(2) == 0 {
			f.Kind, f.Limit = ChangeLimit, (minLimit+r.Int64N(maxLimit-minLimit))*task.Processor
		}
		plan = append(plan, f)
	}
	for o := range organisations {
		if limits {
			plan = append(plan, Fault{Kind: ChangeLimit, At: unlimited, Organisation: o, There: true})
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// NewRenamePlan draws when routes are renamed in a run, in order.
func NewRenamePlan(seed uint64, length time.Duration) []Fault {
	r := rand.New(rand.NewPCG(seed, renameStream))
	var plan []Fault
	for at := between(r, minRenameInterval, maxRenameInterval); at < length; at += between(r, minRenameInterval, maxRenameInterval) {
		plan = append(plan, Fault{Kind: RenameRoute, At: at, Route: r.IntN(len(queues)), There: true})
	}
	return plan
}

func isPlanned(kinds []Kind) bool {
	return !slices.ContainsFunc(kinds, func(k Kind) bool { return !k.Planned() })
}

// drawTakeovers draws a series of faults between two times, each of the host that owns the
// cell then. Half of the owners are paused. Half of the others are cut off from all workers
// too, which would tell them of their successors.
func drawTakeovers(r *rand.Rand, from, to, length time.Duration, hosts int) []Fault {
	var series []Fault
	for at := from; at < to; at += between(r, minTakeoverInterval, maxTakeoverInterval) {
		f := Fault{
			Kind: Pause, At: at, Length: min(between(r, minTakeoverFault, maxTakeoverFault), length-at),
			Host: r.IntN(hosts), Owner: true, All: true, There: true, Back: r.IntN(2) == 0,
		}
		f.Other = f.Host
		if r.IntN(2) == 0 {
			f.Kind = storeLinkKinds[r.IntN(len(storeLinkKinds))]
			if r.IntN(2) == 0 {
				workers := f
				workers.Kind = CutWorker
				series = append(series, workers)
			}
		}
		series = append(series, f)
	}
	return series
}

// drawBurstKinds draws a few kinds, so that faults of the same kind follow each other in a
// burst.
func drawBurstKinds(r *rand.Rand) []Kind {
	if r.Float64() < plannedBurstRatio {
		return planned
	}
	kinds := append(slices.Clone(unplanned), planned...)
	r.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds[:kindsPerBurst]
}

func drawFault(r *rand.Rand, kinds []Kind, hosts, workers int) Fault {
	f := Fault{
		Kind: kinds[r.IntN(len(kinds))], Host: r.IntN(hosts), Other: r.IntN(hosts), Worker: r.IntN(workers),
		Owner: r.Float64() < ownerRatio, All: r.Float64() < allWorkersRatio,
		There: r.IntN(2) == 0, Answers: 1 + r.IntN(maxLostAnswers),
	}
	f.Back = !f.There || r.IntN(3) == 0
	// Squaring the draw makes short faults more likely than long ones.
	part := r.Float64()
	f.Length = minFault + time.Duration(part*part*float64(maxFault-minFault))
	return f
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}
