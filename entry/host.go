package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/settings"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/timer"
)

const (
	// enqueueTimeout bounds the wait for space in the queue of a duty.
	enqueueTimeout = 30 * time.Second
	// leaveGrace is how long a host that stops still accepts callers, and closes each
	// connection with its answer: a request may already be on its way over an idle
	// connection that is closed.
	leaveGrace = 2 * time.Second
)

// Host is an entry host. Use New to make one.
type Host struct {
	name         string
	settings     settings.Settings
	hostSettings settings.Host
	log          *logrus.Logger
	platform     *tablestore.Client
	layout       partition.Layout
	lease        *member.Lease
	roster       member.Roster
	owners       partition.Owners
	hub          *peer.Hub
	router       *message.Router
	decide       *decideDuty
	racks        *rackDuty
	digests      *digestDuty
	witnesses    witnessDuty
	shares       *shareDuty
	calls        *calls
	journals     *journals
	configure    *configureDuty
	metrics      *metrics
	// stopping is closed when the host begins to stop.
	stopping  chan struct{}
	ownership *ownership
	// claims holds the latest owners of partitions, as learned from commands.
	claims rackowner.Claims
	// config is the configuration in force; nil means the empty configuration.
	config atomic.Pointer[configuration.Configuration]
}

// New returns the named entry host of the settings. It is not yet running.
func New(name string, s settings.Settings, log *logrus.Logger) (*Host, error) {
	s = s.WithDefaults()
	hostSettings, ok := s.Hosts[name]
	if !ok {
		return nil, errors.NotFoundf("host %q in the settings", name)
	}
	client := tablestore.NewClient(s.Platform, 0)
	h := &Host{
		name: name, settings: s, hostSettings: hostSettings, log: log, platform: client, stopping: make(chan struct{}),
		layout: partition.Layout{Regions: s.Regions, PerRegion: s.PartitionsPerRegion},
	}
	h.lease = member.NewLease(client, member.Member{
		ID: name, Instance: uuid.NewString(), Address: hostSettings.PeerAddress(), Region: hostSettings.Region, Zone: hostSettings.Zone,
	})
	h.hub = peer.NewHub(name, h.peerAddress)
	limits := limitsOf(s.Limits)
	h.hub.MaxQueuedBytes, h.hub.MaxMessageBytes, h.hub.Memory = limits.QueuedBytes, limits.MessageBytes, budget.New(limits.LinkBytes)
	if files := s.TLS.Peers; files != nil {
		store, err := h.openCertificate(*files)
		if err != nil {
			return nil, err
		}
		h.hub.TLSClient = store.HTTPClient()
	}
	h.witnesses.host = h
	h.decide = newDecideDuty(h)
	h.racks = newRackDuty(h)
	h.digests = newDigestDuty(h)
	h.shares = newShareDuty(h)
	h.calls = newCalls(h)
	h.journals = newJournals(h)
	h.ownership = newOwnership()
	h.configure = newConfigureDuty(h)
	h.metrics = newMetrics(h)
	return h, h.subscribe()
}

// peerAddress returns the address at which a member listens for its peers.
func (h *Host) peerAddress(id string) (string, bool) {
	m, ok := h.roster.Lookup(id)
	return m.Address, ok && m.State != "Gone"
}

// subscribe registers the handlers of messages from other members.
func (h *Host) subscribe() error {
	router, err := message.NewRouter(message.RouterConfig{CloseTimeout: time.Second}, watermill.NopLogger{})
	if err != nil {
		return errors.Trace(err)
	}
	h.router = router
	consume := func(kind peer.Kind, handler message.NoPublishHandlerFunc) {
		router.AddConsumerHandler(string(kind), string(kind), h.hub, handler)
	}
	consume(peer.KindCall, peer.NewHandler(h.calls.receive))
	consume(peer.KindAnswer, peer.NewHandler(h.calls.receiveAnswer))
	consume(peer.KindCommand, peer.NewHandler(h.racks.receive))
	consume(peer.KindReport, peer.NewHandler(h.receiveReport))
	consume(peer.KindUsage, peer.NewHandler(h.receiveUsage))
	consume(peer.KindDigest, peer.NewHandler(h.digests.receive))
	consume(peer.KindDigestWanted, peer.NewHandler(h.digests.receiveRequest))
	consume(peer.KindEpochs, peer.NewHandler(h.witnesses.receiveEpochs))
	consume(peer.KindEpochsKnown, peer.NewHandler(h.witnesses.receiveAnswer))
	consume(peer.KindSummary, peer.NewHandler(h.shares.receive))
	consume(peer.KindOwnership, peer.NewHandler(func(string, peer.OwnershipChanged) { h.ownership.triggerScan() }))
	consume(peer.KindConfiguration, peer.NewHandler(h.configure.receive))
	consume(peer.KindApplied, peer.NewHandler(h.configure.receiveApplied))
	return nil
}

// Run serves until the context ends, and then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	duties, stopDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer stopDuties()
	group, inner := errgroup.WithContext(duties)
	listeners.serve(group)
	group.Go(func() error { return h.router.Run(inner) })
	group.Go(func() error { return h.runHeartbeat(inner) })
	group.Go(func() error { return h.runOwnership(inner) })
	group.Go(func() error { return h.configure.run(inner) })
	group.Go(func() error { return h.decide.run(inner) })
	group.Go(func() error { return h.racks.run(inner) })
	group.Go(func() error { return h.digests.run(inner) })
	group.Go(func() error { return h.witnesses.run(inner) })
	group.Go(func() error { return h.shares.run(inner) })
	group.Go(func() error { return h.calls.run(inner) })
	h.log.WithField("callers", h.hostSettings.Callers).Infof("Entry: host %s is serving.", h.name)

	select {
	case <-ctx.Done():
	case <-inner.Done():
	}
	h.stop(listeners)
	stopDuties()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	h.log.Infof("Entry: host %s has stopped.", h.name)
	return nil
}

// stop lets requests in flight finish and then hands over what the host owns.
func (h *Host) stop(l *listeners) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(h.settings.Limits.Stop))
	defer cancel()
	h.lease.Drain()
	close(h.stopping)
	timer.Sleep(ctx, leaveGrace)
	if err := l.callers.finish(ctx); err != nil {
		h.log.Warnf("Entry: requests in flight aborted: %v.", err)
	}
	h.handOverAll(ctx)
	if err := h.lease.Release(ctx); err != nil {
		h.log.Warnf("Member: lease release failed: %v.", err)
	}
	h.journals.close()
	if err := h.hub.Close(); err != nil {
		h.log.Warnf("Peer: closing the links failed: %v.", err)
	}
	l.close()
	h.platform.Close()
}

// background is a group of goroutines that are stopped together.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func newBackground() *background {
	ctx, cancel := context.WithCancel(context.Background())
	return &background{ctx: ctx, cancel: cancel}
}

func (b *background) start(f func(context.Context)) {
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
		f(b.ctx)
	}()
}

func (b *background) stop() {
	b.cancel()
	b.wait.Wait()
}
