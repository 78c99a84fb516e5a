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
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity  = task.Size{Processors: 4000, Memory: 4 << 30, Slots: 4, Connections: 8}
	taskSize  = task.Size{Processors: 1000, Memory: 1 << 30, Slots: 1}
)

// recordingPort records the decisions of an owner.
type recordingPort struct {
	sent      map[string][]worker.Command
	reports   []decision.Report
	usages    []decision.Usage
	digests   []rack.Digest
	opened    map[string]uint64
	leaving   map[string]bool
	queueFull bool
}

func newPort() *recordingPort {
	return &recordingPort{sent: map[string][]worker.Command{}, opened: map[string]uint64{}, leaving: map[string]bool{}}
}

func (p *recordingPort) Open(_ string, epoch uint64, h tablestore.Host) { p.opened[h.ID] = epoch }
func (p *recordingPort) Close(_, id string)                             { delete(p.opened, id) }
func (p *recordingPort) SetLeaving(_, id string, leaving bool)          { p.leaving[id] = leaving }
func (p *recordingPort) Report(r decision.Report)                       { p.reports = append(p.reports, r) }
func (p *recordingPort) Usage(u decision.Usage)                         { p.usages = append(p.usages, u) }
func (p *recordingPort) PublishDigest(d rack.Digest)                    { p.digests = append(p.digests, d) }
func (p *recordingPort) Send(_, id string, c worker.Command) error {
	if p.queueFull {
		return ring.ErrFull
	}
	p.sent[id] = append(p.sent[id], c)
	return nil
}

// lastReport returns the latest report, or the zero value.
func (p *recordingPort) lastReport() decision.Report {
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
		Verb: verb, Attempt: attemptOf(id), Rack: "r1", Worker: "w1", Size: taskSize, RunTime: time.Second, Payload: []byte(id),
	}}
}

// fixture is the owner of rack r1 under epoch 1.
type fixture struct {
	*recordingPort
	*rackowner.Owner
	claims *rackowner.Claims
	now    time.Time
}

func newFixture(hosts ...tablestore.Host) *fixture {
	if len(hosts) == 0 {
		hosts = []tablestore.Host{host("w1")}
	}
	f := &fixture{recordingPort: newPort(), claims: &rackowner.Claims{}, now: startTime}
	f.Owner = rackowner.New(f.recordingPort, f.claims)
	f.UpdateWorkers(f.now, hosts, nil)
	f.now = f.now.Add(worker.LeaseLapseTimeout + time.Second)
	f.Claim(f.now, "r1", 1)
	return f
}

// newAdopted returns a fixture whose worker has been adopted.
func newAdopted(t *testing.T) (*qt.C, *fixture) {
	f := newFixture()
	f.adopt("w1", "a")
	return qt.New(t), f
}

// newPlaced returns a fixture whose worker runs attempt x.
func newPlaced(t *testing.T) (*qt.C, *fixture) {
	c, f := newAdopted(t)
	f.command(1, decision.Place, "x")
	f.answerCommands("w1")
	return c, f
}

// nextOwner returns another owner that receives the given digests, then claims the rack
// under epoch 2 and adopts its worker.
func (f *fixture) nextOwner(digests ...rack.Digest) *rackowner.Owner {
	o := rackowner.New(f.recordingPort, f.claims)
	o.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	for _, d := range digests {
		o.HandleDigest(f.now, d)
	}
	o.Claim(f.now, "r1", 2)
	o.HandleInventory(f.now, "r1", "w1", worker.Inventory{Capacity: capacity, Clock: time.Hour})
	return o
}

// settle asks for the status of attempt x, which was sent under the given epoch.
func (f *fixture) settle(sentEpoch uint64) {
	c := command(1, decision.Settle, "x")
	c.Command.Epoch = sentEpoch
	f.HandleCommand(f.now, "e1", c)
}

func (f *fixture) adopt(id, instance string, attempts ...worker.Attempt) {
	f.HandleInventory(f.now, "r1", id, worker.Inventory{Worker: id, Instance: instance, Capacity: capacity, Attempts: attempts})
}

func (f *fixture) command(epoch uint64, verb decision.Verb, id string) {
	f.HandleCommand(f.now, "e1", command(epoch, verb, id))
}

// answerCommands answers every command that was sent to a worker.
func (f *fixture) answerCommands(id string) {
	commands := f.sent[id]
	f.sent[id] = nil
	for _, c := range commands {
		f.HandleResult(f.now, "r1", id, c, worker.Result{})
	}
}

// sentVerbs returns the verbs of the commands that were sent to a worker.
func (f *fixture) sentVerbs(id string) []worker.Verb {
	var verbs []worker.Verb
	for _, c := range f.sent[id] {
		verbs = append(verbs, c.Verb)
	}
	return verbs
}
