package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/mirror"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/tenure"
	"github.com/vanillaquay/vanillaquay/upkeep"
)

// cellName is the name of the only cell in a deployment of this size.
const cellName = "cell-1"

const (
	// maxWorkerLease bounds the leases of workers. A takeover takes some 2 s, and a worker
	// that is cut off should free its work soon.
	maxWorkerLease = 4 * time.Second
	// maxStartLease bounds how late an order to start may be carried out.
	maxStartLease = 2500 * time.Millisecond
	// maxClockSkew bounds the relative error by which the clocks of workers may run slow.
	maxClockSkew = 0.03
	// maxQueuedQuestions bounds the questions queued at one host.
	maxQueuedQuestions = 64
)

// Host is an entry host. Create one with New.
type Host struct {
	// currentSettings holds the settings in force; read them with settings.
	currentSettings atomic.Pointer[platform.Settings]
	log             *logrus.Entry
	incarnation     string
	store           *platform.Store
	// operatorTable reads the operator's table, from another host of the region where there is one.
	operatorTable *mirror.Store
	startedAt     time.Time
	// membersListed is closed when the members have been read once.
	membersListed chan struct{}
	workerClient  *platform.WorkerClient
	advisor       atomic.Pointer[platform.Advisor]
	machines      atomic.Pointer[platform.MachineClient]
	// relay sends this host's calls to workers, through carriers where there are any;
	// carrier forwards such calls for other owners.
	relay       *carrier.Relay
	carrier     *carrier.Carrier
	hub         *peer.Hub
	members     members
	forwarder   *intake.Forwarder
	ingress     *platform.Ingress
	questions   *ring.Ring[queuedQuestion]
	adviceCache adviceCache
	counters    scheduler.Counters
	takeovers   atomic.Int64
	// abstainUntil is the time until which this host ranks behind all others as a
	// candidate.
	abstainUntil atomic.Int64
	// stopping reports that the host is shutting down.
	stopping   atomic.Bool
	background sync.WaitGroup
	allServers []*server.Server
	servers    servers
	// requestMemory bounds the memory that requests of callers hold.
	requestMemory *budget.Budget

	// catalogueRefresh and membersRefresh make the watches of the catalogue and the members
	// reissue the call in flight.
	catalogueRefresh, membersRefresh *ring.Ring[struct{}]

	mu    sync.Mutex
	lease tenure.LeaseState
	// link records the announcements that this host receives from the owner.
	link tenure.Link
	// nearStore reports whether a call was fast enough for the store to be in this region.
	nearStore bool
	owner     *scheduler.Owner
	// newestCatalogue is the newest version of which another host has told.
	newestCatalogue int64
	// waves holds the operator's waves by number.
	waves map[int64]upkeep.Wave
}

// queuedQuestion is a question with the host that sent it.
type queuedQuestion struct {
	from     string
	question scheduler.Question
}

// New returns a host with the given settings.
func New(settings platform.Settings, log *logrus.Entry) *Host {
	limits := limitsOf(settings)
	h := &Host{
		log: log, incarnation: uuid.NewString()[:8],
		store: platform.NewStore(settings.StoreAddress), workerClient: platform.NewWorkerClient().WithMaxConnections(limits.Workers),
		waves: map[int64]upkeep.Wave{}, questions: ring.New[queuedQuestion](maxQueuedQuestions),
		catalogueRefresh: ring.New[struct{}](1), membersRefresh: ring.New[struct{}](1),
		requestMemory: budget.New(0), membersListed: make(chan struct{}), startedAt: time.Now(),
	}
	h.store.OnRead = h.logRead
	h.operatorTable = &mirror.Store{
		Store: h.store, Table: platform.OperatorTable, Self: settings.Host, Peers: h.regionPeers,
		Bound:  func() time.Duration { return h.settings().CatalogueTime },
		Client: platform.NewHostClient(), OnAnswer: h.logMirrorAnswer,
		Receiving: func() bool { return h.store.Receiving(platform.OperatorTable) },
	}
	h.currentSettings.Store(&settings)
	h.advisor.Store(platform.NewAdvisor(settings.AdviceAddress))
	h.machines.Store(platform.NewMachineClient(settings.MachinesAddress))
	h.members = members{byName: map[string]member{}, onChange: h.updateLinks}
	h.hub = peer.NewHub(settings.Host, h.members.resolve)
	h.hub.OnConnect = h.forwardCachedAdvice
	h.hub.MaxQueuedBytes, h.hub.MaxMessageBytes, h.hub.Memory = limits.QueuedBytes, limits.MessageBytes, budget.New(limits.LinkBytes)
	h.relay = carrier.NewRelay(h.workerClient, h, log)
	h.carrier = carrier.NewCarrier(h.workerClient, h.fence, h.sendWorkerAnswers)
	h.forwarder = intake.NewForwarder(h, log)
	h.ingress = &platform.Ingress{Intake: h.forwarder}
	h.servers = h.newServers()
	h.applyLimits()
	return h
}

// cellOptions returns the limits on which the cell relies.
func cellOptions(s platform.Settings) cell.Options {
	return cell.Options{
		Lease: min(maxWorkerLease, s.MaxLease), MaxLease: s.MaxLease, StartLease: min(maxStartLease, s.MaxLease), ClockSkew: maxClockSkew,
		StopTime: s.StopTime,
	}
}

// Run serves until stop is done; then it hands over the cell if it owns it, finishes the
// calls in flight and returns.
func (h *Host) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer h.background.Wait()
	defer h.close()
	defer cancel()
	servers, err := h.startServers()
	if err != nil {
		return err
	}
	h.subscribe(ctx)
	for _, loop := range []func(context.Context){h.registerMember, h.watchMembers, h.watchCatalogue, h.watchLease, h.competeForCell, h.yieldCell, h.serveQuestions, h.serveQuestions, h.announcePeriodically, h.logRefusedKeys, h.logRefusals} {
		h.background.Add(1)
		go func() {
			defer h.background.Done()
			loop(ctx)
		}()
	}
	h.log.WithFields(logrus.Fields{"zone": h.settings().Zone, "callers": h.settings().CallerAddress, "store": h.settings().StoreAddress}).Info("front: started")
	<-stop.Done()
	return h.stop(servers)
}

// stop hands the cell over and lets the calls in flight finish.
func (h *Host) stop(servers []*server.Server) error {
	h.log.Info("front: stopping")
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), max(time.Second, h.settings().StopGrace-stopMargin))
	defer cancel()
	for _, s := range servers {
		s.SetKeepAlivesEnabled(false)
	}
	// The balancer notices within two polls that this host is not ready.
	drained := time.After(balancerDrainDelay)
	h.resign(ctx)
	<-drained
	for _, s := range servers {
		if err := s.Drain(ctx); err != nil {
			h.log.WithError(err).Warn("front: calls in flight did not finish before the stop timeout")
		}
	}
	h.log.Info("front: stopped")
	return nil
}

// close closes all links and servers.
func (h *Host) close() {
	for _, s := range h.allServers {
		// The calls still in flight have had the time of stop to finish.
		_ = s.Close()
	}
	if err := h.hub.Close(); err != nil {
		h.log.WithError(err).Warn("front: closing links failed")
	}
}

// handleWaveRow handles a row with a wave of the operator, and reports whether the row is
// one.
func (h *Host) handleWaveRow(r ledger.Row) bool {
	w, isWave, err := platform.DecodeWave(r)
	if err != nil {
		h.log.WithField("why", err.Error()).Warn("front: invalid wave ignored")
		return true
	}
	if !isWave {
		return false
	}
	h.mu.Lock()
	h.waves[w.Number] = w
	o := h.owner
	h.mu.Unlock()
	h.log.WithFields(logrus.Fields{"wave": w.Number, "machines": len(w.Machines), "within_ms": w.Within.Milliseconds()}).Info("front: wave of upkeep")
	if o != nil {
		o.SetWave(w)
	}
	return true
}
