package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Planned ones are work that an operator does: calls under way must
// survive them.
const (
	Terminate       Kind = "Terminate"
	Hangup          Kind = "Hangup"
	ChangeCatalogue Kind = "ChangeCatalogue"
	// DrainWorker lets a worker announce that it leaves; it ends after the length of the
	// fault and comes back as another.
	DrainWorker Kind = "DrainWorker"

	Kill        Kind = "Kill"
	KillAll     Kind = "KillAll"
	Pause       Kind = "Pause"
	StoreDown   Kind = "StoreDown"
	StoreSlow   Kind = "StoreSlow"
	LoseAnswers Kind = "LoseAnswers"
	DropHistory Kind = "DropHistory"
	// Those of links concern one host and the store, one worker, or another host.
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
	// RestartWorker and MuteWorker are faults of a worker itself.
	RestartWorker Kind = "RestartWorker"
	MuteWorker    Kind = "MuteWorker"
)

var (
	planned   = []Kind{Terminate, Hangup, ChangeCatalogue, DrainWorker}
	unplanned = []Kind{
		Kill, Kill, KillAll, Pause, Pause, StoreDown, StoreSlow, LoseAnswers, LoseAnswers, DropHistory, CutStore, HoldStore, SilenceStore,
		CutWorker, HoldWorker, SilenceWorker, DelayWorkers, CutHosts, HoldHosts, SilenceHosts, ResetLinks, RestartWorker, MuteWorker,
	}
)

// Planned reports whether a fault is work that an operator does.
func (k Kind) Planned() bool { return slices.Contains(planned, k) }

// Fault is a fault of a plan.
type Fault struct {
	// At is when it begins, counted from the start of the traffic.
	At time.Duration
	// Length is how long it lasts; a process is down or paused for so long.
	Length time.Duration
	Kind   Kind
	// Host, Other and Worker are the numbers of what it concerns.
	Host, Other, Worker int
	// Owner tells that Host is the owner of the cell as the fault begins, if there is one.
	Owner bool
	// All tells that a fault of the link to a worker concerns all workers.
	All bool
	// There and Back are the directions that a silent connection loses.
	There, Back bool
	// Answers is how many answers of the store are lost.
	Answers int
}

const (
	// A storm has faults, a calm has none; these bound the spells with and without faults. A calm is
	// longer than stableWindow, so that the rules with a time bound are checked too.
	minBurst, maxBurst = 2 * time.Second, 7 * time.Second
	minCalm, maxCalm   = 5 * time.Second, 8 * time.Second
	// meanFaultInterval is the mean time between two faults of a storm, far shorter than faults
	// last, so that they overlap.
	meanFaultInterval = 400 * time.Millisecond
	// minFault and maxFault bound a fault. Leases of workers end after 6 s at most.
	minFault, maxFault = 100 * time.Millisecond, 8 * time.Second
	// plannedBurstRatio is the part of storms that have planned work only.
	plannedBurstRatio = 0.2
	// kindsPerBurst is few enough that faults of each kind meet each other.
	kindsPerBurst = 5
	// ownerRatio is the part of faults that meet the owner, whose loss costs the most, and
	// allShare the part of those of links to a worker that concern all.
	ownerRatio, allWorkersRatio = 0.5, 0.3
	maxLostAnswers              = 5
)

// NewPlan draws the faults of a run from a seed, in order. The first storm begins after a
// calm, and the last fault ends before the length is over.
func NewPlan(seed uint64, length time.Duration, hosts, workers int) []Fault {
	r := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	at := time.Second
	for at < length {
		kinds := drawBurstKinds(r)
		end := min(at+between(r, minBurst, maxBurst), length)
		for at += between(r, 0, 2*meanFaultInterval); at < end; at += between(r, 0, 2*meanFaultInterval) {
			f := drawFault(r, kinds, hosts, workers)
			f.At, f.Length = at, min(f.Length, length-at)
			plan = append(plan, f)
		}
		at = end + between(r, minCalm, maxCalm)
	}
	return plan
}

// drawBurstKinds draws a few kinds, so that those of one storm come in series.
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
	// Short faults are as likely as long ones on a scale of squares.
	part := r.Float64()
	f.Length = minFault + time.Duration(part*part*float64(maxFault-minFault))
	return f
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}
