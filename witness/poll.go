package witness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// AskInterval is the pause between two questions to the witnesses.
	AskInterval = 500 * time.Millisecond
	// AnswerLifetime is how long an answer counts after its question was asked.
	AnswerLifetime = 3 * time.Second
)

// Poll is what an owner of racks asks its witnesses and what they have answered.
// The zero value has asked nothing. It is safe for concurrent use.
type Poll struct {
	mu sync.Mutex
	// number is that of the latest question. The first is random, so that no
	// answer to an earlier process of the same name is taken for one to this.
	number uint64
	// asked holds the questions of the last ContactLength by number.
	asked map[uint64]question
	// witnesses are those of the latest question.
	witnesses []string
	// contact is when the latest question was asked to which a witness knew of no
	// later owner.
	contact map[string]time.Time
	racks   map[string]*confirmation
}

// question is what was asked of every witness.
type question struct {
	at     time.Time
	epochs map[string]uint64
}

// confirmation is how far the witnesses have answered to an epoch of a rack.
type confirmation struct {
	epoch uint64
	// witnesses are all that there were since the rack was taken: one that has
	// gone since may still answer the owner before.
	witnesses map[string]bool
	answered  map[string]bool
	done      bool
}

// Ask begins a question of a member about the racks that it owns, and returns its
// number. The member answers itself at once from its registry, if it is a witness.
func (p *Poll) Ask(now time.Time, self string, known *Registry, epochs map[string]uint64, witnesses []string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asked == nil {
		p.asked, p.contact = map[uint64]question{}, map[string]time.Time{}
		p.number = rand.Uint64()
	}
	maps.DeleteFunc(p.asked, func(_ uint64, q question) bool { return now.Sub(q.at) > AnswerLifetime })
	p.number++
	p.asked[p.number] = question{at: now, epochs: maps.Clone(epochs)}
	p.witnesses = witnesses
	p.updateConfirmations(epochs)
	p.recordAnswer(self, p.number, known.HigherEpochs(epochs))
	return p.number
}

// updateConfirmations begins the confirmations of racks that were taken, and adds the present
// witnesses to all of them.
func (p *Poll) updateConfirmations(epochs map[string]uint64) {
	fresh := map[string]*confirmation{}
	for rack, epoch := range epochs {
		c := p.racks[rack]
		if c == nil || c.epoch != epoch {
			c = &confirmation{epoch: epoch, witnesses: map[string]bool{}, answered: map[string]bool{}}
		}
		for _, name := range p.witnesses {
			c.witnesses[name] = true
		}
		fresh[rack] = c
	}
	p.racks = fresh
}

// HandleAnswer takes the answer of a witness: the racks of which it knows a higher epoch.
func (p *Poll) HandleAnswer(from string, number uint64, higher map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(from, number, higher)
}

func (p *Poll) recordAnswer(from string, number uint64, higher map[string]uint64) {
	q, ok := p.asked[number]
	if !ok || !slices.Contains(p.witnesses, from) {
		return
	}
	for rack, epoch := range q.epochs {
		c := p.racks[rack]
		if c != nil && c.epoch == epoch && higher[rack] <= epoch {
			c.answered[from] = true
		}
	}
	if len(higher) == 0 && q.at.After(p.contact[from]) {
		p.contact[from] = q.at
	}
}

// HasContact reports whether at least half of the witnesses know of no later owner.
func (p *Poll) HasContact(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, name := range p.witnesses {
		if now.Sub(p.contact[name]) <= AnswerLifetime {
			n++
		}
	}
	return n > 0 && 2*n >= len(p.witnesses)
}

// HasUnconfirmed reports whether a rack is not confirmed, or was not asked about.
func (p *Poll) HasUnconfirmed(epochs map[string]uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for rack, epoch := range epochs {
		if c := p.racks[rack]; c == nil || c.epoch != epoch || !c.done {
			return true
		}
	}
	return false
}

// TakeConfirmed returns the epochs of the racks to which more than half of the
// witnesses have answered, each once.
func (p *Poll) TakeConfirmed() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := map[string]uint64{}
	for rack, c := range p.racks {
		if !c.done && 2*len(c.answered) > len(c.witnesses) {
			c.done = true
			confirmed[rack] = c.epoch
		}
	}
	return confirmed
}
