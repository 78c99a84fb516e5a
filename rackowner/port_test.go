package rackowner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

var (
	began    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity = task.Size{Processors: 4000, Memory: 4 << 30, Slots: 4, Connections: 8}
	one      = task.Size{Processors: 1000, Memory: 1 << 30, Slots: 1}
)

// port notes what an owner decides.
type port struct {
	sent    map[string][]worker.Command
	reports []decision.Report
	usages  []decision.Usage
	digests []rack.Digest
	opened  map[string]uint64
	leaving map[string]bool
	full    bool
}

func newPort() *port {
	return &port{sent: map[string][]worker.Command{}, opened: map[string]uint64{}, leaving: map[string]bool{}}
}

func (p *port) Open(_ string, epoch uint64, h tablestore.Host) { p.opened[h.ID] = epoch }
func (p *port) Close(_, id string)                             { delete(p.opened, id) }
func (p *port) SetLeaving(_, id string, leaving bool)          { p.leaving[id] = leaving }
func (p *port) Report(r decision.Report)                       { p.reports = append(p.reports, r) }
func (p *port) Usage(u decision.Usage)                         { p.usages = append(p.usages, u) }
func (p *port) PublishDigest(d rack.Digest)                    { p.digests = append(p.digests, d) }
func (p *port) Send(_, id string, c worker.Command) error {
	if p.full {
		return ring.ErrFull
	}
	p.sent[id] = append(p.sent[id], c)
	return nil
}

// last returns the latest report, or the zero value.
func (p *port) last() decision.Report {
	if len(p.reports) == 0 {
		return decision.Report{}
	}
	return p.reports[len(p.reports)-1]
}

func attemptOf(id string) task.AttemptID {
	return task.AttemptID{Work: task.Key{Team: "domes", ID: id}, Number: 1}
}

func host(id string) tablestore.Host {
	return tablestore.Host{ID: id, Rack: "r1", Region: "centro", Zone: "centro-1", Address: "127.0.0.1:1", State: tablestore.Live}
}

func command(epoch uint64, verb decision.Verb, id string) peer.Command {
	return peer.Command{Partition: "p1", Epoch: epoch, Command: decision.Command{
		Verb: verb, Attempt: attemptOf(id), Rack: "r1", Worker: "w1", Size: one, RunTime: time.Second, Payload: []byte(id),
	}}
}

// fixture is the owner of rack r1 under epoch 1.
type fixture struct {
	*port
	*rackowner.Owner
	claims *rackowner.Claims
	now    time.Time
}

func newFixture(hosts ...tablestore.Host) *fixture {
	if len(hosts) == 0 {
		hosts = []tablestore.Host{host("w1")}
	}
	f := &fixture{port: newPort(), claims: &rackowner.Claims{}, now: began}
	f.Owner = rackowner.New(f.port, f.claims)
	f.UpdateWorkers(f.now, hosts, nil)
	f.now = f.now.Add(worker.LapseLength + time.Second)
	f.Claim(f.now, "r1", 1)
	return f
}

// adopted returns a fixture whose worker has been adopted.
func adopted(t *testing.T) (*qt.C, *fixture) {
	f := newFixture()
	f.adopt("w1", "a")
	return qt.New(t), f
}

// placed returns a fixture whose worker runs the attempt of x.
func placed(t *testing.T) (*qt.C, *fixture) {
	c, f := adopted(t)
	f.command(1, decision.Place, "x")
	f.obey("w1")
	return c, f
}

// next returns another owner, which takes the rack and its worker under epoch 2 after
// it saw some digests.
func (f *fixture) next(saw ...rack.Digest) *rackowner.Owner {
	o := rackowner.New(f.port, f.claims)
	o.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	for _, d := range saw {
		o.HandleDigest(f.now, d)
	}
	o.Claim(f.now, "r1", 2)
	o.HandleInventory(f.now, "r1", "w1", worker.Inventory{Capacity: capacity, Clock: time.Hour})
	return o
}

// settle asks what became of the attempt of x, which was sent under an epoch.
func (f *fixture) settle(sentUnder uint64) {
	c := command(1, decision.Settle, "x")
	c.Command.Epoch = sentUnder
	f.HandleCommand(f.now, "e1", c)
}

func (f *fixture) adopt(id, instance string, attempts ...worker.Attempt) {
	f.HandleInventory(f.now, "r1", id, worker.Inventory{Worker: id, Instance: instance, Capacity: capacity, Attempts: attempts})
}

func (f *fixture) command(epoch uint64, verb decision.Verb, id string) {
	f.HandleCommand(f.now, "e1", command(epoch, verb, id))
}

// obey answers every command that was sent to a worker.
func (f *fixture) obey(id string) {
	commands := f.sent[id]
	f.sent[id] = nil
	for _, c := range commands {
		f.HandleResult(f.now, "r1", id, c, worker.Result{})
	}
}

// verbs returns what was sent to a worker.
func (f *fixture) verbs(id string) []worker.Verb {
	var verbs []worker.Verb
	for _, c := range f.sent[id] {
		verbs = append(verbs, c.Verb)
	}
	return verbs
}
