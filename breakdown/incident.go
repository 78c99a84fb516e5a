package breakdown

import (
	"fmt"
	"time"
)

// Incident is an event of the cell, rather than of a job, found in the logs.
type Incident struct {
	Kind IncidentKind
	// What describes the incident; Subject is the host, worker or configuration version that
	// it concerns.
	What, Subject string
	// From and To are relative to the beginning of the logs and equal for an incident
	// without a duration.
	From, To time.Duration
}

// IncidentKind is a kind of incident that may cause jobs to be lost or late.
type IncidentKind string

const (
	OwnerChanged         IncidentKind = "OwnerChanged"
	StoreUnavailable     IncidentKind = "StoreAway"
	HostCrashed          IncidentKind = "HostGone"
	HostStopped          IncidentKind = "HostLeft"
	WorkerLost           IncidentKind = "WorkerGone"
	WorkerDraining       IncidentKind = "WorkerDrains"
	CarrierSkipped       IncidentKind = "CarrierPassedOver"
	ConfigurationChanged IncidentKind = "ConfigurationChanged"
	AdviceMissing        IncidentKind = "AdviceMissing"
	UpkeepWave           IncidentKind = "WaveOfUpkeep"
)

// slowCommitThreshold is the mean commit time above which the owner refuses new jobs, as in
// docs/OPERATIONS.md.
const slowCommitThreshold = 900 * time.Millisecond

// incident is an Incident with absolute times, as the beginning of the logs is not known
// until all lines are read.
type incident struct {
	kind          IncidentKind
	what, subject string
	from, to      time.Time
}

// incidentTracker collects the incidents of the cell. Lines of one host must be added in
// order.
type incidentTracker struct {
	incidents []incident
	// lastLines maps each host that has not stopped to the time of its last line.
	lastLines map[string]time.Time
	// seenVersions holds the configuration versions already recorded.
	seenVersions map[int64]bool
	// silentWorkers holds the last silence of each pair of host and worker.
	silentWorkers map[[2]string]workerSilence
}

// workerSilence is a period in which a host received nothing from a worker; to is zero
// while it continues.
type workerSilence struct{ from, to time.Time }

func newIncidentTracker() *incidentTracker {
	return &incidentTracker{lastLines: map[string]time.Time{}, seenVersions: map[int64]bool{}, silentWorkers: map[[2]string]workerSilence{}}
}

func (w *incidentTracker) addLine(l line) {
	w.addHostLine(l)
	switch l.Message {
	case "front: tenure ended":
		w.addMoment(l, OwnerChanged, "tenure ended: "+l.Why, l.Host)
	case "front: taking the cell":
		w.addMoment(l, OwnerChanged, "takes the cell", l.Host)
	case "front: the store is back":
		w.addInterval(l, StoreUnavailable, "did not answer", l.Host, milliseconds(l.AwayMS))
	case "front: configuration not read", "front: members not read", "scheduler: list of workers not read":
		w.addMoment(l, StoreUnavailable, "read failed", l.Host)
	case "intake: call answered":
		w.addCall(l)
	case "scheduler: load":
		if milliseconds(l.CommitMS) > slowCommitThreshold {
			w.addMoment(l, StoreUnavailable, "slow commits", l.Host)
		}
	case "front: configuration in force":
		w.addConfiguration(l)
	case "front: settings changed":
		w.addMoment(l, ConfigurationChanged, "settings changed", l.Host)
	case "front: advice not given":
		w.addMoment(l, AdviceMissing, "not given", l.Host)
	case "front: wave of upkeep":
		w.addMoment(l, UpkeepWave, "begins", l.Host)
	case "carrier: passed over":
		w.addMoment(l, CarrierSkipped, l.Why, l.Carrier)
	default:
		w.addWorkerLine(l)
	}
}

func (w *incidentTracker) addCall(l line) {
	if l.Why == "the store is slow or away" {
		w.addMoment(l, StoreUnavailable, "calls refused", l.Host)
	}
}

func (w *incidentTracker) addConfiguration(l line) {
	if !w.seenVersions[l.Version] {
		w.seenVersions[l.Version] = true
		w.addMoment(l, ConfigurationChanged, "in force", fmt.Sprint("version ", l.Version))
	}
}

// addHostLine records hosts that stop, and hosts that start again without having stopped.
func (w *incidentTracker) addHostLine(l line) {
	if l.Host == "" {
		return
	}
	switch l.Message {
	case "front: stopping":
		w.addMoment(l, HostStopped, "stopping", l.Host)
	case "front: started":
		if before, ok := w.lastLines[l.Host]; ok {
			w.incidents = append(w.incidents, incident{HostCrashed, "started again without having stopped", l.Host, before, l.Time})
		}
	}
	if l.Message == "front: stopped" {
		delete(w.lastLines, l.Host)
		return
	}
	w.lastLines[l.Host] = l.Time
}

func (w *incidentTracker) addWorkerLine(l line) {
	key := [2]string{l.Host, l.Worker}
	switch l.Message {
	case "cell: worker gone":
		w.addInterval(l, WorkerLost, "gone", l.Worker, milliseconds(l.AgeMS))
	case "cell: worker drains":
		w.addMoment(l, WorkerDraining, "drains", l.Worker)
	case "scheduler: worker silent":
		w.addMoment(l, WorkerLost, "silent", l.Worker)
		w.silentWorkers[key] = workerSilence{from: l.Time}
	case "scheduler: worker heard":
		if s, ok := w.silentWorkers[key]; ok && s.to.IsZero() {
			w.silentWorkers[key] = workerSilence{from: s.from, to: l.Time}
		}
	}
}

// maxReportDelay bounds the time from the end of a worker's silence until the owner logs
// the runs that ended during it; the worker's first report lists them all.
const maxReportDelay = time.Second

// silenceBefore returns how long the worker of a line had been silent before the line, or 0
// if its last silence is not over or ended more than maxReportDelay earlier.
func (w *incidentTracker) silenceBefore(l line) time.Duration {
	s, ok := w.silentWorkers[[2]string{l.Host, l.Worker}]
	if !ok || s.to.IsZero() || l.Time.Before(s.to) || l.Time.Sub(s.to) > maxReportDelay {
		return 0
	}
	return l.Time.Sub(s.from)
}

func (w *incidentTracker) addMoment(l line, k IncidentKind, what, subject string) {
	w.addInterval(l, k, what, subject, 0)
}

func (w *incidentTracker) addInterval(l line, k IncidentKind, what, subject string, lasted time.Duration) {
	w.incidents = append(w.incidents, incident{k, what, subject, l.Time.Add(-lasted), l.Time})
}
