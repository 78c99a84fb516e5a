package breakdown

import (
	"fmt"
	"time"
)

// Happening is what lines tell of the cell rather than of a job.
type Happening struct {
	Kind Kind
	// What says in words what happened, Subject to which host, worker or version.
	What, Subject string
	// From and To are since the beginning of the logs; they are the same for a moment.
	From, To time.Duration
}

// Kind is a kind of trouble that may lose jobs.
type Kind string

// The kinds.
const (
	OwnerChanged         Kind = "OwnerChanged"
	StoreAway            Kind = "StoreAway"
	HostGone             Kind = "HostGone"
	HostLeft             Kind = "HostLeft"
	WorkerGone           Kind = "WorkerGone"
	WorkerDrains         Kind = "WorkerDrains"
	CarrierPassedOver    Kind = "CarrierPassedOver"
	ConfigurationChanged Kind = "ConfigurationChanged"
	AdviceMissing        Kind = "AdviceMissing"
	WaveOfUpkeep         Kind = "WaveOfUpkeep"
)

// slowCommit is the mean commit above which the owner refuses new jobs, as in
// docs/OPERATIONS.md.
const slowCommit = 900 * time.Millisecond

// span is a happening before the beginning of the logs is known.
type span struct {
	kind          Kind
	what, subject string
	from, to      time.Time
}

// watch collects what happens to the cell. Lines of one host must come in their order.
type watch struct {
	spans []span
	// seen holds the last line of each host that has not stopped.
	seen map[string]time.Time
	// versions holds the configurations that were seen.
	versions map[int64]bool
	// silent holds since when a host has not heard of a worker.
	silent map[[2]string]silence
}

// silence is a time in which a host did not hear of a worker; to is zero until it does.
type silence struct{ from, to time.Time }

func newWatch() *watch {
	return &watch{seen: map[string]time.Time{}, versions: map[int64]bool{}, silent: map[[2]string]silence{}}
}

func (w *watch) take(l line) {
	w.takeHost(l)
	switch l.Message {
	case "front: tenure ended":
		w.moment(l, OwnerChanged, "tenure ended: "+l.Why, l.Host)
	case "front: taking the cell":
		w.moment(l, OwnerChanged, "takes the cell", l.Host)
	case "front: the store is back":
		w.span(l, StoreAway, "did not answer", l.Host, milliseconds(l.AwayMS))
	case "front: configuration not read", "front: members not read", "scheduler: list of workers not read":
		w.moment(l, StoreAway, "read failed", l.Host)
	case "intake: call answered":
		w.takeCall(l)
	case "scheduler: load":
		if milliseconds(l.CommitMS) > slowCommit {
			w.moment(l, StoreAway, "slow commits", l.Host)
		}
	case "front: configuration in force":
		w.takeConfiguration(l)
	case "front: settings changed":
		w.moment(l, ConfigurationChanged, "settings changed", l.Host)
	case "front: advice not given":
		w.moment(l, AdviceMissing, "not given", l.Host)
	case "front: wave of upkeep":
		w.moment(l, WaveOfUpkeep, "begins", l.Host)
	case "carrier: passed over":
		w.moment(l, CarrierPassedOver, l.Why, l.Carrier)
	default:
		w.takeWorker(l)
	}
}

func (w *watch) takeCall(l line) {
	if l.Why == "the store is slow or away" {
		w.moment(l, StoreAway, "calls refused", l.Host)
	}
}

func (w *watch) takeConfiguration(l line) {
	if !w.versions[l.Version] {
		w.versions[l.Version] = true
		w.moment(l, ConfigurationChanged, "in force", fmt.Sprint("version ", l.Version))
	}
}

// takeHost notes hosts that leave, and those that begin again without having left.
func (w *watch) takeHost(l line) {
	if l.Host == "" {
		return
	}
	switch l.Message {
	case "front: stopping":
		w.moment(l, HostLeft, "stopping", l.Host)
	case "front: started":
		if before, ok := w.seen[l.Host]; ok {
			w.spans = append(w.spans, span{HostGone, "started again without having stopped", l.Host, before, l.Time})
		}
	}
	if l.Message == "front: stopped" {
		delete(w.seen, l.Host)
		return
	}
	w.seen[l.Host] = l.Time
}

func (w *watch) takeWorker(l line) {
	key := [2]string{l.Host, l.Worker}
	switch l.Message {
	case "cell: worker gone":
		w.span(l, WorkerGone, "gone", l.Worker, milliseconds(l.AgeMS))
	case "cell: worker drains":
		w.moment(l, WorkerDrains, "drains", l.Worker)
	case "scheduler: worker silent":
		w.moment(l, WorkerGone, "silent", l.Worker)
		w.silent[key] = silence{from: l.Time}
	case "scheduler: worker heard":
		if s, ok := w.silent[key]; ok && s.to.IsZero() {
			w.silent[key] = silence{from: s.from, to: l.Time}
		}
	}
}

// heardWithin is how long after a worker is heard again the ends of its runs are told;
// its first report has them all.
const heardWithin = time.Second

// unheard returns how long the worker of a line had not been heard of before it.
func (w *watch) unheard(l line) time.Duration {
	s, ok := w.silent[[2]string{l.Host, l.Worker}]
	if !ok || s.to.IsZero() || l.Time.Before(s.to) || l.Time.Sub(s.to) > heardWithin {
		return 0
	}
	return l.Time.Sub(s.from)
}

func (w *watch) moment(l line, k Kind, what, subject string) { w.span(l, k, what, subject, 0) }

func (w *watch) span(l line, k Kind, what, subject string, lasted time.Duration) {
	w.spans = append(w.spans, span{k, what, subject, l.Time.Add(-lasted), l.Time})
}
