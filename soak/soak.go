package soak

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const (
	// startTimeout bounds the time until a new deployment accepts calls.
	startTimeout = 20 * time.Second
	// settleTimeout bounds the time in which all accepted jobs end once the faults have
	// ended. The longest job takes three runs of 8 s, and leases lapse within 6 s.
	settleTimeout = 40 * time.Second
	// checkInterval is the pause between two checks during a run.
	checkInterval = time.Second
	// settlePollInterval is the pause between two rounds of calls for unfinished jobs.
	settlePollInterval = 300 * time.Millisecond
	// probeInterval is the pause between two rounds of calls for added queues.
	probeInterval = 500 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	// Hosts, Workers and Callers are the numbers of each.
	Hosts, Workers, Callers int
	// Takeovers reports whether the only faults are takeovers in short succession.
	Takeovers bool
	// Crashes reports whether the only faults are workers that start again under their IDs and
	// soon cannot be reached.
	Crashes bool
	// Organisations is the number of organisations to which the callers belong; 0 means that
	// calls need no key. Limits reports whether the organisations have limits.
	Organisations int
	Limits        bool
	// Renames reports whether routes are renamed, beside the other faults.
	Renames bool
	// Program is the path and the arguments that start a host.
	Program []string
	// Directory holds the settings and logs of the hosts.
	Directory string
}

// plan draws the faults of the run.
func (o Options) plan() []Fault {
	plan := o.planFaults()
	if o.Organisations > 0 {
		plan = append(plan, NewOrganisationPlan(o.Seed, o.Length, o.Organisations, o.Limits)...)
	}
	if o.Renames {
		plan = append(plan, NewRenamePlan(o.Seed, o.Length)...)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// planFaults draws the faults that do not concern organisations or names of routes.
func (o Options) planFaults() []Fault {
	switch {
	case o.Takeovers:
		return NewTakeoverPlan(o.Seed, o.Length, o.Hosts)
	case o.Crashes:
		return NewCrashPlan(o.Seed, o.Length, o.Workers)
	default:
		return NewPlan(o.Seed, o.Length, o.Hosts, o.Workers)
	}
}

// Run runs hosts among stand-ins, injects faults, and returns a report. It returns an error
// if the run could not be made; a broken rule is in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	h := &history{}
	c, err := openCell(o, h.addCrash)
	if err != nil {
		return Report{}, err
	}
	defer c.close()
	s := &run{options: o, cell: c, history: h, injector: &injector{cell: c, history: h, version: 1, queues: queues}}
	s.injector.addOrganisations(o.Organisations)
	if err := s.startHosts(ctx); err != nil {
		return Report{}, err
	}
	s.runFaults(ctx)
	if s.violation == nil && ctx.Err() == nil {
		s.awaitJobs(ctx)
	}
	return s.report(), nil
}

// run is the state of one run.
type run struct {
	options  Options
	cell     *cell
	history  *history
	injector *injector
	begun    time.Time
	// violation is the first broken rule that was found, or nil.
	violation *Violation
}

// startHosts starts all hosts and waits until they are ready.
func (s *run) startHosts(ctx context.Context) error {
	s.injector.putCatalogue()
	for _, h := range s.cell.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for i := range s.cell.hosts {
		for makeCall(http.DefaultClient, s.callerAddresses(), i, http.MethodGet, "/"+queues[0].Name+"/", s.operatorKey(), nil, callTimeout).Status != http.StatusOK {
			if ctx.Err() != nil {
				return errors.Errorf("host %d was not ready within %s", i, startTimeout)
			}
			time.Sleep(settlePollInterval)
		}
	}
	return nil
}

func (s *run) callerAddresses() []string {
	var addresses []string
	for i := range s.cell.hosts {
		addresses = append(addresses, s.cell.callerAddress(i))
	}
	return addresses
}

// runFaults runs the callers while the faults are injected, until the faults have ended or
// a rule is broken.
func (s *run) runFaults(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.begun = time.Now()
	var callers sync.WaitGroup
	for i := range s.options.Callers {
		c := newCaller(i, s.options.Seed, s.callerAddresses(), s.history)
		c.keys = s.newKeyChoice(i)
		callers.Go(func() { c.run(ctx) })
	}
	for i := range max(1, s.options.Callers/callersPerCanceller) {
		c := newCanceller(s.options.Callers+i, s.options.Seed, s.callerAddresses(), s.history)
		c.keys = fixedKey(s.operatorKey())
		callers.Go(func() { c.run(ctx) })
	}
	callers.Go(func() { s.probeAddedQueues(ctx) })
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		s.injector.run(ctx, s.options.plan())
	}()
	s.checkUntil(ctx, faults)
	cancel()
	callers.Wait()
	<-faults
}

// checkUntil checks the rules until ended is closed or a rule is broken.
func (s *run) checkUntil(ctx context.Context, ended <-chan struct{}) {
	for s.check(); s.violation == nil; s.check() {
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-time.After(checkInterval):
		}
	}
}

// check checks the rules and records the first broken one.
func (s *run) check() {
	o := s.history.snapshot()
	o.Events = s.cell.monitor.EventsAfter(0)
	if found := Check(o); len(found) > 0 {
		s.violation = &found[0]
		logrus.WithFields(logrus.Fields{"rule": s.violation.Rule, "seed": s.options.Seed}).Error("soak: " + s.violation.Text)
	}
}

// probeAddedQueues asks hosts in turn for the queues that operators added or removed.
func (s *run) probeAddedQueues(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		for _, queue := range s.history.addedQueues() {
			s.history.addRouteCall(queue, makeCall(client, s.callerAddresses(), n%s.options.Hosts, http.MethodGet, "/"+queue+"/", "", nil, callTimeout))
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

// awaitJobs asks for all accepted or cancelled jobs until each has ended and no cancelled one
// runs, or settleTimeout is over.
func (s *run) awaitJobs(ctx context.Context) {
	for end := time.Now().Add(settleTimeout); ; time.Sleep(settlePollInterval) {
		unfinished := s.pollUnfinished()
		logrus.WithField("jobs", len(unfinished)).Debug("soak: waiting for jobs to end")
		s.check()
		if s.violation != nil || ctx.Err() != nil || len(unfinished) == 0 && !s.isCancelledJobRunning() {
			return
		}
		if len(unfinished) > 0 && time.Now().After(end) {
			s.violation = &Violation{At: time.Now(), Rule: "LOST", Text: unfinished[0] + " has not ended in time after the faults"}
			return
		}
	}
}

// pollUnfinished asks for the accepted or cancelled jobs that are not known to have ended,
// and returns those that have not.
func (s *run) pollUnfinished() []string {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var unfinished []string
	for n, j := range s.history.snapshot().Jobs {
		v := newJobSummary(&j)
		if v.accepted.IsZero() && v.cancelled.IsZero() || v.hasEnded() {
			continue
		}
		call := makeCall(client, s.callerAddresses(), n%s.options.Hosts, http.MethodGet, path(j), s.operatorKey(), nil, callTimeout)
		s.history.addCall(j.ID, call)
		if !v.isEnd(call) {
			unfinished = append(unfinished, j.ID)
		}
	}
	return unfinished
}

// isCancelledJobRunning reports whether a task of a job runs whose cancellation was
// acknowledged. Such a job may be unknown to the hosts.
func (s *run) isCancelledJobRunning() bool {
	cancelled := map[string]bool{}
	for _, j := range s.history.snapshot().Jobs {
		cancelled[j.ID] = !newJobSummary(&j).cancelled.IsZero()
	}
	running := map[runID]bool{}
	for _, e := range s.cell.monitor.EventsAfter(0) {
		id := runID{e.Worker, e.Task, e.Run}
		switch e.Kind {
		case workerstandin.RunBegan:
			if job, _, _ := parseTask(e.Task); cancelled[job] {
				running[id] = true
			}
		case workerstandin.RunEnded, workerstandin.RunGone:
			delete(running, id)
		}
	}
	return len(running) > 0
}

func (v *jobSummary) hasEnded() bool { return slices.ContainsFunc(v.Calls, v.isEnd) }

// isEnd reports whether a response shows that the job has ended. A cancelled job may not be
// known to the hosts; the acknowledgement itself does not show that it has ended.
func (v *jobSummary) isEnd(call Call) bool {
	switch call.State {
	case stateDone, stateFailed, stateCanceled:
		return true
	}
	return call.Method == http.MethodGet && call.Status == http.StatusGone &&
		!v.cancelled.IsZero() && call.Begun.After(v.cancelled) && call.Begun.After(v.accepted)
}

// report builds the report from the observations.
func (s *run) report() Report {
	o := s.history.snapshot()
	r := Report{
		Seed: s.options.Seed, Length: s.options.Length.String(), Begun: s.begun, Took: time.Since(s.begun).String(),
		Violation: s.violation, Jobs: len(o.Jobs), Disruptions: o.Disruptions,
	}
	for i := range o.Jobs {
		v := newJobSummary(&o.Jobs[i])
		r.Calls += len(v.Calls)
		for _, call := range v.Calls {
			if call.Status == http.StatusUnauthorized {
				r.Unauthorised++
			}
		}
		r.countJob(v)
	}
	for _, e := range s.cell.monitor.EventsAfter(0) {
		if e.Kind == workerstandin.RunBegan {
			r.Starts++
		}
	}
	r.countConnections(s.cell)
	if s.violation != nil {
		r.addEvidence(s, o)
	}
	return r
}
