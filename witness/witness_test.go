package witness_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/witness"
)

const (
	region = "centro"
	rack   = "r1"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// node is one member with its registry and poll.
type node struct {
	registry *witness.Registry
	poll     *witness.Poll
	// epoch is the epoch under which it owns the rack; 0 means that it doesn't.
	epoch uint64
}

// message is a question or an answer in flight.
type message struct {
	from, to string
	number   uint64
	epochs   map[string]uint64
	answer   bool
}

// cluster simulates members that ask each other about one rack whose owner changes.
type cluster struct {
	t        *rapid.T
	now      time.Time
	members  []member.Member
	nodes    map[string]*node
	inFlight []message
	// epoch is the epoch in the owner row.
	epoch uint64
	// confirmedAt holds when more than half of the witnesses had answered to an epoch.
	confirmedAt map[uint64]time.Time
	// cutPairs holds the pairs of members that can't reach each other.
	cutPairs map[[2]string]bool
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, now: start, nodes: map[string]*node{}, confirmedAt: map[uint64]time.Time{}, cutPairs: map[[2]string]bool{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		id := fmt.Sprintf("e%d", i+1)
		c.members = append(c.members, member.Member{ID: id, Region: region})
		c.nodes[id] = &node{registry: &witness.Registry{}, poll: &witness.Poll{}}
		c.nodes[id].registry.RecordOwnerRows(nil)
	}
	if rapid.Bool().Draw(t, "other region") {
		c.members = append(c.members, member.Member{ID: "f1", Region: "austral"})
		c.nodes["f1"] = &node{registry: &witness.Registry{}, poll: &witness.Poll{}}
		c.nodes["f1"].registry.RecordOwnerRows(nil)
	}
	for i, a := range c.members {
		for _, b := range c.members[:i] {
			cut := rapid.IntRange(0, 2).Draw(t, "apart") == 0
			c.cutPairs[[2]string{a.ID, b.ID}], c.cutPairs[[2]string{b.ID, a.ID}] = cut, cut
		}
	}
	return c
}

func (c *cluster) drawMember(label string) string {
	return rapid.SampledFrom(c.members).Draw(c.t, label).ID
}

// claim makes a member of the region the next owner of the rack.
func (c *cluster) claim() {
	id := c.drawMember("claimer")
	if id == "f1" {
		return
	}
	c.epoch++
	c.nodes[id].epoch = c.epoch
	c.nodes[id].registry.RecordEpochs(map[string]uint64{rack: c.epoch})
}

// restart drops the state of a member, which answers again only after it has read the
// owner rows.
func (c *cluster) restart() {
	c.nodes[c.drawMember("restarted")] = &node{registry: &witness.Registry{}, poll: &witness.Poll{}}
}

func (c *cluster) ask() {
	id := c.drawMember("asker")
	n := c.nodes[id]
	if n.epoch == 0 {
		return
	}
	epochs := map[string]uint64{rack: n.epoch}
	witnesses := witness.Select(region, c.members)
	number := n.poll.Ask(c.now, id, n.registry, epochs, witnesses)
	for _, to := range witnesses {
		if to != id {
			c.inFlight = append(c.inFlight, message{from: id, to: to, number: number, epochs: epochs})
		}
	}
	c.recordConfirmations(n)
}

// deliver delivers or loses any one message in flight.
func (c *cluster) deliver() {
	if len(c.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.inFlight)-1).Draw(c.t, "message")
	m := c.inFlight[i]
	c.inFlight = append(c.inFlight[:i], c.inFlight[i+1:]...)
	if c.cutPairs[[2]string{m.from, m.to}] || rapid.IntRange(0, 5).Draw(c.t, "lost") == 0 {
		return
	}
	n := c.nodes[m.to]
	if m.answer {
		n.registry.RecordEpochs(m.epochs)
		n.poll.HandleAnswer(m.from, m.number, m.epochs)
		c.recordConfirmations(n)
		return
	}
	higher, ok := n.registry.Answer(m.epochs)
	if ok {
		c.inFlight = append(c.inFlight, message{from: m.to, to: m.from, number: m.number, epochs: higher, answer: true})
	}
}

// release makes a member release the rack if it knows of a later owner, which may happen
// long after an answer reported that owner.
func (c *cluster) release(n *node) {
	if len(n.registry.HigherEpochs(map[string]uint64{rack: n.epoch})) > 0 {
		n.epoch = 0
	}
}

func (c *cluster) recordConfirmations(n *node) {
	for _, epoch := range n.poll.TakeConfirmed() {
		c.confirmedAt[epoch] = c.now
	}
}

// check fails if an owner may renew although a later owner considers it stopped.
func (c *cluster) check() {
	for id, n := range c.nodes {
		if n.epoch == 0 || !n.poll.HasContact(c.now) {
			continue
		}
		for epoch, at := range c.confirmedAt {
			if epoch > n.epoch && c.now.Sub(at) > witness.AnswerLifetime {
				c.t.Fatalf("%s may renew under epoch %d, although epoch %d was confirmed %v ago", id, n.epoch, epoch, c.now.Sub(at))
			}
		}
	}
}

// TestNoEarlierOwnerRenewsAfterConfirmation runs random schedules of claims, questions,
// restarts, and messages that are late, lost or out of order. Once more than half of the
// witnesses have answered to an epoch and their earlier answers have expired, no earlier
// owner may renew.
func TestNoEarlierOwnerRenewsAfterConfirmation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.claim()
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 15).Draw(t, "step") {
			case 0:
				c.claim()
			case 1, 2, 3:
				c.ask()
			case 4:
				c.restart()
			case 5:
				c.nodes[c.drawMember("reader")].registry.RecordOwnerRows(map[string]uint64{rack: c.epoch})
			case 6:
				c.release(c.nodes[c.drawMember("yields")])
			case 7, 8:
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			default:
				c.deliver()
			}
			c.check()
		}
	})
}

// TestContactNeedsHalfAndConfirmationMajority checks the number of answers that each needs
// with one to six witnesses.
func TestContactNeedsHalfAndConfirmationMajority(t *testing.T) {
	c := qt.New(t)
	for n, want := range map[int][2]int{1: {1, 1}, 2: {1, 2}, 3: {2, 2}, 4: {2, 3}, 5: {3, 3}, 6: {3, 4}} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("e%d", i+1))
		}
		contact, confirmed := 0, 0
		var p witness.Poll
		number := p.Ask(start, "e1", &witness.Registry{}, map[string]uint64{rack: 2}, names)
		for i, name := range names {
			p.HandleAnswer(name, number, nil)
			if contact == 0 && p.HasContact(start) {
				contact = i + 1
			}
			if confirmed == 0 && len(p.TakeConfirmed()) > 0 {
				confirmed = i + 1
			}
		}
		c.Assert([2]int{contact, confirmed}, qt.Equals, want, qt.Commentf("%d witnesses", n))
	}
}

func TestPairOfMembersHasAThirdWitness(t *testing.T) {
	c := qt.New(t)
	members := []member.Member{{ID: "e1", Region: region}, {ID: "e2", Region: region}, {ID: "f1", Region: "austral"}, {ID: "f2", Region: "austral"}}
	c.Assert(witness.Select(region, members), qt.HasLen, 3)
	c.Assert(witness.Select(region, members[:2]), qt.HasLen, 2)
	c.Assert(witness.Select(region, members[1:]), qt.HasLen, 1)
	var many []member.Member
	for i := range 125 {
		many = append(many, member.Member{ID: fmt.Sprintf("e%d", i), Region: region})
	}
	c.Assert(witness.Select(region, many), qt.HasLen, witness.MaxPerRegion)
}

// TestRestartedWitnessAnswersOnlyAfterReadingOwnerRows guards against a restarted witness
// that confirms an owner although it has answered to a later one: after the restart that
// epoch is known only from the owner rows.
func TestRestartedWitnessAnswersOnlyAfterReadingOwnerRows(t *testing.T) {
	c := qt.New(t)
	var r witness.Registry
	_, ok := r.Answer(map[string]uint64{rack: 1})
	c.Assert(ok, qt.IsFalse)
	r.RecordOwnerRows(map[string]uint64{rack: 2})
	higher, ok := r.Answer(map[string]uint64{rack: 1})
	c.Assert(ok, qt.IsTrue)
	c.Assert(higher, qt.DeepEquals, map[string]uint64{rack: 2})
}

// TestAnswerToEarlierProcessIsIgnored delivers the answer to a question of a process to
// its successor of the same name.
func TestAnswerToEarlierProcessIsIgnored(t *testing.T) {
	c := qt.New(t)
	names := []string{"e1", "e2", "e3"}
	var earlier, later witness.Poll
	var registry witness.Registry
	number := earlier.Ask(start, "e1", &registry, map[string]uint64{rack: 1}, names)
	later.Ask(start, "e1", &registry, map[string]uint64{rack: 3}, names)
	later.HandleAnswer("e2", number, nil)
	c.Assert(later.HasContact(start), qt.IsFalse)
	c.Assert(later.TakeConfirmed(), qt.HasLen, 0)
}
