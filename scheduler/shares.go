package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/organisation"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// organisationsInterval is the interval at which the load of the organisations is computed for
	// the metrics and the dump.
	organisationsInterval = time.Second
	// organisationLogInterval is the least interval between two log lines about one organisation.
	organisationLogInterval = 5 * time.Second
)

// OrganisationStatus is what an organisation uses of the cell, and what became of the jobs that it
// has submitted in this tenure.
type OrganisationStatus struct {
	cell.OrganisationLoad
	organisation.Counts
}

// admit classifies a new job as within or beyond the share of its organisation. It reports false
// if it has refused the job. One that was cancelled before its submission arrived never runs, and
// is not charged.
func (o *Owner) admit(now time.Duration, job *workload.Job, reply func(intake.Reply)) bool {
	job.BeyondShare = false
	if len(o.cell.Organisations()) == 0 || o.records.isPreCancelled(job.ID) {
		return true
	}
	v := o.admission.Admit(now, job.Organisation, o.cell.IsOverdue(job.Organisation))
	job.BeyondShare = v.BeyondShare
	if v.Refused() {
		o.counters.Refused.Add(1)
		reply(intake.Reply{Outcome: intake.Overloaded, RetryAfter: v.RetryAfter, Why: refusedBeyondShare})
	}
	return !v.Refused()
}

// abandon removes a new job that could not be recorded, and doesn't charge its organisation for
// it: the caller is told to send it again. It reports false if the job is final or not known.
func (o *Owner) abandon(now time.Duration, id string) bool {
	job, _ := o.cell.Job(id)
	if !o.cell.Abandon(now, id) {
		return false
	}
	o.admission.Return(now, job.Organisation, job.BeyondShare)
	return true
}

// updateOrganisations computes the status of the organisations for the metrics and the dump, and
// logs those that their limit or share restricts.
func (o *Owner) updateOrganisations(now time.Duration) {
	if now-o.lastOrganisations < organisationsInterval {
		return
	}
	o.lastOrganisations = now
	loads := o.cell.OrganisationLoads()
	list := make([]OrganisationStatus, 0, len(loads))
	for _, l := range loads {
		list = append(list, OrganisationStatus{OrganisationLoad: l, Counts: o.admission.Counts(l.Name)})
	}
	o.organisations.Store(&list)
	for _, s := range list {
		o.logOrganisation(now, s)
	}
}

// organisationLog is what was last logged of an organisation.
type organisationLog struct {
	at     time.Duration
	counts organisation.Counts
}

// logOrganisation logs an organisation whose limit keeps steps waiting, or of which jobs beyond
// its share have arrived since the last line.
func (o *Owner) logOrganisation(now time.Duration, s OrganisationStatus) {
	last, logged := o.loggedOrganisations[s.Name]
	since := s.Counts.Minus(last.counts)
	if logged && now-last.at < organisationLogInterval || s.HeldBack == 0 && since.Beyond == 0 && since.Refused == 0 {
		return
	}
	o.loggedOrganisations[s.Name] = organisationLog{at: now, counts: s.Counts}
	fields := logrus.Fields{"organisation": s.Name, "weight": s.Weight, "within": since.Within, "beyond": since.Beyond, "refused": since.Refused, "held_back": s.HeldBack}
	for prefix, size := range map[string]task.Size{"used": s.Used, "limit": s.Limit} {
		fields[prefix+"_processors"], fields[prefix+"_mb"], fields[prefix+"_accelerators"] = size.Processors/task.Processor, size.Memory/task.Mebibyte, size.Accelerators
	}
	o.log.WithFields(fields).Info("scheduler: organisation")
}

// Organisations returns the status of the organisations as of the last second. It may be called by
// other goroutines than the event loop.
func (o *Owner) Organisations() []OrganisationStatus {
	if list := o.organisations.Load(); list != nil {
		return *list
	}
	return nil
}
