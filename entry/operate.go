package entry

import (
	"context"
	"expvar"
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// operators implements the operators' interface to a host.
type operators struct{ *Host }

var _ operator.EntryHost = operators{}

// ReadConfiguration implements operator.EntryHost.
func (o operators) ReadConfiguration(ctx context.Context) (configuration.Configuration, error) {
	return o.configRegister().Read(ctx)
}

// Propose implements operator.EntryHost.
func (o operators) Propose(ctx context.Context, c configuration.Configuration, by string) (*configuration.Proposal, error) {
	p, err := o.configRegister().Propose(ctx, c, by)
	return p, o.applyAccepted(p, err)
}

// Edit implements operator.EntryHost.
func (o operators) Edit(ctx context.Context, by string, edit func(configuration.Configuration) configuration.Configuration) (*configuration.Proposal, error) {
	p, err := o.configRegister().Edit(ctx, by, edit)
	return p, o.applyAccepted(p, err)
}

// applyAccepted puts an accepted change into force at this host.
func (o operators) applyAccepted(p *configuration.Proposal, err error) error {
	if err != nil || p.State == "Rejected" {
		return err
	}
	o.Apply(p.Accepted)
	return nil
}

// AwaitApplied implements operator.EntryHost.
func (o operators) AwaitApplied(ctx context.Context, version uint64) []string {
	return o.configure.awaitApplied(ctx, version)
}

// KnowsWorker implements operator.EntryHost.
func (o operators) KnowsWorker(id string) bool {
	o.racks.mu.Lock()
	defer o.racks.mu.Unlock()
	return slices.ContainsFunc(o.racks.workers, func(w tablestore.Host) bool { return w.ID == id })
}

// Ready implements operator.EntryHost.
func (o operators) Ready() error {
	if !o.lease.ValidFor(0) {
		return errors.New("the host holds no lease as a member")
	}
	if state := o.lease.Member().State; state != "Active" {
		return errors.Errorf("the host is in state %s", state)
	}
	if !o.configure.loaded.Load() {
		return errors.New("the configuration has not been read yet")
	}
	if o.drained() {
		return errors.New("the host is drained")
	}
	return nil
}

// Metrics implements operator.EntryHost.
func (o operators) Metrics() expvar.Var { return o.metrics.all }
