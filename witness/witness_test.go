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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// party is one member with what it knows and asks.
type party struct {
	registry *witness.Registry
	poll     *witness.Poll
	// epoch is the one under which it owns the rack; 0 is none.
	epoch uint64
}

// message is a question or an answer under way.
type message struct {
	from, to string
	number   uint64
	epochs   map[string]uint64
	answer   bool
}

// world is members that ask each other about one rack whose owner changes.
type world struct {
	t       *rapid.T
	now     time.Time
	members []member.Member
	parties map[string]*party
	under   []message
	// epoch is that of the owner row.
	epoch uint64
	// stopped is when more than half of the witnesses had answered to an epoch.
	stopped map[uint64]time.Time
	// apart holds the pairs of members that never reach each other.
	apart map[[2]string]bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: began, parties: map[string]*party{}, stopped: map[uint64]time.Time{}, apart: map[[2]string]bool{}}
	for i := range rapid.IntRange(2, 5).Draw(t, "members") {
		id := fmt.Sprintf("e%d", i+1)
		w.members = append(w.members, member.Member{ID: id, Region: region})
		w.parties[id] = &party{registry: &witness.Registry{}, poll: &witness.Poll{}}
		w.parties[id].registry.RecordOwnerRows(nil)
	}
	if rapid.Bool().Draw(t, "other region") {
		w.members = append(w.members, member.Member{ID: "f1", Region: "austral"})
		w.parties["f1"] = &party{registry: &witness.Registry{}, poll: &witness.Poll{}}
		w.parties["f1"].registry.RecordOwnerRows(nil)
	}
	for i, a := range w.members {
		for _, b := range w.members[:i] {
			apart := rapid.IntRange(0, 2).Draw(t, "apart") == 0
			w.apart[[2]string{a.ID, b.ID}], w.apart[[2]string{b.ID, a.ID}] = apart, apart
		}
	}
	return w
}

func (w *world) any(label string) string {
	return rapid.SampledFrom(w.members).Draw(w.t, label).ID
}

// claim gives the rack to a member that can write the owner row.
func (w *world) claim() {
	id := w.any("claimer")
	if id == "f1" {
		return
	}
	w.epoch++
	w.parties[id].epoch = w.epoch
	w.parties[id].registry.RecordEpochs(map[string]uint64{rack: w.epoch})
}

// restart loses what a member knew. It may answer again once it has read the rows.
func (w *world) restart() {
	w.parties[w.any("restarted")] = &party{registry: &witness.Registry{}, poll: &witness.Poll{}}
}

func (w *world) ask() {
	id := w.any("asker")
	p := w.parties[id]
	if p.epoch == 0 {
		return
	}
	epochs := map[string]uint64{rack: p.epoch}
	witnesses := witness.Select(region, w.members)
	number := p.poll.Ask(w.now, id, p.registry, epochs, witnesses)
	for _, to := range witnesses {
		if to != id {
			w.under = append(w.under, message{from: id, to: to, number: number, epochs: epochs})
		}
	}
	w.confirm(p)
}

// deliver carries one message, in any order, or loses it.
func (w *world) deliver() {
	if len(w.under) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.under)-1).Draw(w.t, "message")
	m := w.under[i]
	w.under = append(w.under[:i], w.under[i+1:]...)
	if w.apart[[2]string{m.from, m.to}] || rapid.IntRange(0, 5).Draw(w.t, "lost") == 0 {
		return
	}
	p := w.parties[m.to]
	if m.answer {
		p.registry.RecordEpochs(m.epochs)
		p.poll.HandleAnswer(m.from, m.number, m.epochs)
		w.confirm(p)
		return
	}
	higher, ok := p.registry.Answer(m.epochs)
	if ok {
		w.under = append(w.under, message{from: m.to, to: m.from, number: m.number, epochs: higher, answer: true})
	}
}

// yield lets a member give the rack up if it knows of another owner. It may find
// that out later than its answers tell.
func (w *world) yield(p *party) {
	if len(p.registry.HigherEpochs(map[string]uint64{rack: p.epoch})) > 0 {
		p.epoch = 0
	}
}

func (w *world) confirm(p *party) {
	for _, epoch := range p.poll.TakeConfirmed() {
		w.stopped[epoch] = w.now
	}
}

// check fails if an owner may renew although a later one believes it stopped.
func (w *world) check() {
	for id, p := range w.parties {
		if p.epoch == 0 || !p.poll.HasContact(w.now) {
			continue
		}
		for epoch, at := range w.stopped {
			if epoch > p.epoch && w.now.Sub(at) > witness.AnswerLifetime {
				w.t.Fatalf("%s may renew under epoch %d, which epoch %d believes stopped for %v", id, p.epoch, epoch, w.now.Sub(at))
			}
		}
	}
}

// Over random schedules of claims, questions, answers that are late, lost or out
// of order, and restarts: once more than half of the witnesses have answered to an
// epoch and their earlier answers count no more, no owner before may renew.
func TestNoOwnerRenewsOnceALaterOneIsConfirmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.claim()
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 15).Draw(t, "step") {
			case 0:
				w.claim()
			case 1, 2, 3:
				w.ask()
			case 4:
				w.restart()
			case 5:
				w.parties[w.any("reader")].registry.RecordOwnerRows(map[string]uint64{rack: w.epoch})
			case 6:
				w.yield(w.parties[w.any("yields")])
			case 7, 8:
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			default:
				w.deliver()
			}
			w.check()
		}
	})
}

// TestContactNeedsHalfAndConfirmationMore counts both for regions of one to six.
func TestContactNeedsHalfAndConfirmationMore(t *testing.T) {
	c := qt.New(t)
	for n, want := range map[int][2]int{1: {1, 1}, 2: {1, 2}, 3: {2, 2}, 4: {2, 3}, 5: {3, 3}, 6: {3, 4}} {
		var names []string
		for i := range n {
			names = append(names, fmt.Sprintf("e%d", i+1))
		}
		contact, confirmed := 0, 0
		var p witness.Poll
		number := p.Ask(began, "e1", &witness.Registry{}, map[string]uint64{rack: 2}, names)
		for i, name := range names {
			p.HandleAnswer(name, number, nil)
			if contact == 0 && p.HasContact(began) {
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

// TestRestartedWitnessAnswersOnceItHasReadTheRows restarts the one witness that both
// an owner and the next one reach: what it answered to the next one stands in the
// owner rows only.
func TestRestartedWitnessAnswersOnceItHasReadTheRows(t *testing.T) {
	c := qt.New(t)
	var r witness.Registry
	_, ok := r.Answer(map[string]uint64{rack: 1})
	c.Assert(ok, qt.IsFalse)
	r.RecordOwnerRows(map[string]uint64{rack: 2})
	higher, ok := r.Answer(map[string]uint64{rack: 1})
	c.Assert(ok, qt.IsTrue)
	c.Assert(higher, qt.DeepEquals, map[string]uint64{rack: 2})
}

// TestAnswerToAnEarlierProcessCountsForNothing hands the answer to a question of a
// process to the next one of the same name.
func TestAnswerToAnEarlierProcessCountsForNothing(t *testing.T) {
	c := qt.New(t)
	names := []string{"e1", "e2", "e3"}
	var before, after witness.Poll
	var known witness.Registry
	number := before.Ask(began, "e1", &known, map[string]uint64{rack: 1}, names)
	after.Ask(began, "e1", &known, map[string]uint64{rack: 3}, names)
	after.HandleAnswer("e2", number, nil)
	c.Assert(after.HasContact(began), qt.IsFalse)
	c.Assert(after.TakeConfirmed(), qt.HasLen, 0)
}
