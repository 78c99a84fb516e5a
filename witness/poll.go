package witness

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// AskInterval is the interval between two questions to the witnesses.
	AskInterval = 500 * time.Millisecond
	// AnswerLifetime is how long an answer is valid after its question was asked.
	AnswerLifetime = 3 * time.Second
)

// Poll holds the questions of an owner of racks to its witnesses and their answers. The
// zero value has no questions. It is safe for concurrent use.
type Poll struct {
	mu sync.Mutex
	// number is the number of the latest question. The first is random, so that an
	// answer to an earlier process of the same name isn't mistaken for one to this
	// process.
	number uint64
	// questions holds the questions of the last AnswerLifetime by number.
	questions map[uint64]question
	// witnesses are the recipients of the latest question.
	witnesses []string
	// lastContact holds, by witness, the time of the latest question that it answered
	// without knowing of a later owner.
	lastContact   map[string]time.Time
	confirmations map[string]*confirmation
}

// question holds the epochs under which the owner asked every witness about its racks.
type question struct {
	askedAt time.Time
	epochs  map[string]uint64
}

// confirmation records which witnesses have answered to an epoch of a rack.
type confirmation struct {
	epoch uint64
	// witnesses are all witnesses since the rack was taken over. They include those
	// that have left since, which may still answer the previous owner.
	witnesses map[string]bool
	answered  map[string]bool
	// taken reports whether TakeConfirmed has returned the epoch.
	taken bool
}

// Ask records a new question of a member about the racks that it owns, and returns its
// number. If the member is a witness itself, its own registry answers at once.
func (p *Poll) Ask(now time.Time, self string, registry *Registry, epochs map[string]uint64, witnesses []string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.questions == nil {
		p.questions, p.lastContact = map[uint64]question{}, map[string]time.Time{}
		p.number = rand.Uint64()
	}
	maps.DeleteFunc(p.questions, func(_ uint64, q question) bool { return now.Sub(q.askedAt) > AnswerLifetime })
	p.number++
	p.questions[p.number] = question{askedAt: now, epochs: maps.Clone(epochs)}
	p.witnesses = witnesses
	p.updateConfirmations(epochs)
	p.recordAnswer(self, p.number, registry.HigherEpochs(epochs))
	return p.number
}

// updateConfirmations starts a confirmation for each rack that was taken over, adds the
// current witnesses to all confirmations, and drops those of other racks.
func (p *Poll) updateConfirmations(epochs map[string]uint64) {
	current := map[string]*confirmation{}
	for rack, epoch := range epochs {
		c := p.confirmations[rack]
		if c == nil || c.epoch != epoch {
			c = &confirmation{epoch: epoch, witnesses: map[string]bool{}, answered: map[string]bool{}}
		}
		for _, name := range p.witnesses {
			c.witnesses[name] = true
		}
		current[rack] = c
	}
	p.confirmations = current
}

// HandleAnswer records the answer of a witness: the higher epochs that it knows, by rack.
func (p *Poll) HandleAnswer(from string, number uint64, higher map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordAnswer(from, number, higher)
}

func (p *Poll) recordAnswer(from string, number uint64, higher map[string]uint64) {
	q, ok := p.questions[number]
	if !ok || !slices.Contains(p.witnesses, from) {
		return
	}
	for rack, epoch := range q.epochs {
		c := p.confirmations[rack]
		if c != nil && c.epoch == epoch && higher[rack] <= epoch {
			c.answered[from] = true
		}
	}
	if len(higher) == 0 && q.askedAt.After(p.lastContact[from]) {
		p.lastContact[from] = q.askedAt
	}
}

// HasContact reports whether at least half of the witnesses, by answers that are still
// valid, know of no later owner.
func (p *Poll) HasContact(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, name := range p.witnesses {
		if now.Sub(p.lastContact[name]) <= AnswerLifetime {
			n++
		}
	}
	return n > 0 && 2*n >= len(p.witnesses)
}

// HasUnconfirmed reports whether any rack isn't confirmed at its epoch, or wasn't asked
// about.
func (p *Poll) HasUnconfirmed(epochs map[string]uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for rack, epoch := range epochs {
		if c := p.confirmations[rack]; c == nil || c.epoch != epoch || !c.taken {
			return true
		}
	}
	return false
}

// TakeConfirmed returns the epochs, by rack, to which more than half of the witnesses
// have answered. It returns each only once.
func (p *Poll) TakeConfirmed() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := map[string]uint64{}
	for rack, c := range p.confirmations {
		if !c.taken && 2*len(c.answered) > len(c.witnesses) {
			c.taken = true
			confirmed[rack] = c.epoch
		}
	}
	return confirmed
}
