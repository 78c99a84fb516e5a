package front

import (
	"context"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/tenure"
)

// subscribe starts a goroutine for each kind of message.
func (h *Host) subscribe(ctx context.Context) {
	for kind, handle := range map[peer.Kind]message.NoPublishHandlerFunc{
		peer.KindJobCall:       peer.NewHandler(h.handleCall),
		peer.KindJobAnswer:     peer.NewHandler(func(_ string, a intake.Answer) { h.forwarder.HandleAnswer(a) }),
		peer.KindQuestion:      peer.NewHandler(h.handleQuestion),
		peer.KindAdvice:        peer.NewHandler(h.handleAdvice),
		peer.KindTenure:        peer.NewHandler(h.handleAnnouncement),
		peer.KindWorkerCalls:   peer.NewHandler(func(from string, c carrier.Calls) { h.carrier.HandleCalls(ctx, from, c) }),
		peer.KindWorkerAnswers: peer.NewHandler(h.relay.HandleAnswers),
	} {
		messages, err := h.hub.Subscribe(ctx, string(kind))
		if err != nil {
			h.log.WithError(err).Error("front: subscribing to a kind of message failed")
			continue
		}
		h.background.Add(1)
		go func() {
			defer h.background.Done()
			h.consumeMessages(messages, handle)
		}()
	}
}

func (h *Host) consumeMessages(messages <-chan *message.Message, handle message.NoPublishHandlerFunc) {
	for m := range messages {
		if err := handle(m); err != nil {
			h.log.WithField("why", err.Error()).Warn("front: invalid message ignored")
		}
		m.Ack()
	}
}

// Send implements intake.Sender.
func (h *Host) Send(c intake.Call) bool {
	h.mu.Lock()
	owner, own := h.lease.Owner, h.owner
	h.mu.Unlock()
	if own != nil {
		own.HandleCall(h.settings().Host, c)
		return true
	}
	return owner != "" && h.hub.Send(owner, peer.KindJobCall, c) == nil
}

// handleCall handles a call that another host has forwarded.
func (h *Host) handleCall(from string, c intake.Call) {
	h.noteCatalogueVersion(from, c.CatalogueVersion)
	if o := h.localOwner(); o != nil {
		o.HandleCall(from, c)
		return
	}
	h.Reply(from, intake.Answer{Number: c.Number, NotOwner: true})
}

// Reply implements scheduler.Members.
func (h *Host) Reply(host string, a intake.Answer) {
	if host == h.settings().Host {
		h.forwarder.HandleAnswer(a)
		return
	}
	// The sender repeats the call if the reply is lost.
	_ = h.hub.Send(host, peer.KindJobAnswer, a)
}

// Peers implements carrier.Peers.
func (h *Host) Peers() []carrier.Peer {
	var peers []carrier.Peer
	for name, m := range h.members.all() {
		if name != h.settings().Host && h.hub.Reachable(name) && h.hub.ReachableFrom(name) {
			peers = append(peers, carrier.Peer{Host: name, Zone: m.Zone, Processors: m.Processors})
		}
	}
	return peers
}

// SendCalls implements carrier.Peers.
func (h *Host) SendCalls(host string, c carrier.Calls) bool {
	return h.hub.Send(host, peer.KindWorkerCalls, c) == nil
}

// sendWorkerAnswers returns the answers of workers to an owner.
func (h *Host) sendWorkerAnswers(owner string, a carrier.Answers) {
	// The owner treats a lost answer as a call without an answer.
	_ = h.hub.Send(owner, peer.KindWorkerAnswers, a)
}

// AdviceHosts implements scheduler.Members.
func (h *Host) AdviceHosts() []string {
	var names []string
	for _, name := range h.members.names() {
		if name == h.settings().Host || h.hub.Reachable(name) {
			names = append(names, name)
		}
	}
	return names
}

// SendQuestion implements scheduler.Members.
func (h *Host) SendQuestion(host string, q scheduler.Question) bool {
	if host == h.settings().Host {
		return h.questions.TryPut(queuedQuestion{from: host, question: q}) == nil
	}
	return h.hub.Send(host, peer.KindQuestion, q) == nil
}

func (h *Host) handleQuestion(from string, q scheduler.Question) {
	if err := h.questions.TryPut(queuedQuestion{from: from, question: q}); err != nil {
		h.sendAdvice(from, scheduler.Advice{Fence: q.Fence, Question: q.Question, Failed: "too many questions wait"})
	}
}

// serveQuestions sends queued questions to the advice service, one at a time. Two
// goroutines do so, so that one question is on its way while the service handles another.
func (h *Host) serveQuestions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-h.questions.Values():
			h.askAdvice(ctx, a)
		}
	}
}

func (h *Host) askAdvice(ctx context.Context, a queuedQuestion) {
	begun := clock.Now()
	q := a.question.Question
	if a.question.Fence < h.fence() {
		// The owner that asked has lost the cell.
		return
	}
	tickets, err := h.advisor.Load().Ask(ctx, q.Step, q.Workers, q.Expected)
	reply := scheduler.Advice{Fence: a.question.Fence, Question: q, Tickets: tickets, Took: clock.Now() - begun}
	if err != nil {
		reply.Failed, reply.Tickets = err.Error(), nil
		h.log.WithFields(logrus.Fields{"step": q.Step.String(), "workers": len(q.Workers), "why": err.Error(), "ms": reply.Took.Milliseconds()}).Warn("front: advice not given")
	}
	h.adviceCache.add(reply)
	h.sendAdvice(a.from, reply)
}

// forwardCachedAdvice sends a new owner the advice that its predecessors got.
func (h *Host) forwardCachedAdvice(owner string) {
	h.mu.Lock()
	current, fence := h.lease.Owner, h.lease.Fence
	h.mu.Unlock()
	if owner != current {
		return
	}
	for _, a := range h.adviceCache.recent(fence) {
		h.sendAdvice(owner, a)
	}
}

// fence returns the fencing token of the latest owner known here.
func (h *Host) fence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease.Fence
}

func (h *Host) sendAdvice(to string, a scheduler.Advice) {
	if to == h.settings().Host {
		h.handleAdvice(to, a)
		return
	}
	// The owner asks again if the advice is lost.
	_ = h.hub.Send(to, peer.KindAdvice, a)
}

func (h *Host) handleAdvice(from string, a scheduler.Advice) {
	if o := h.localOwner(); o != nil {
		o.HandleAdvice(from, a)
	}
}

// handleAnnouncement handles the announcement of an owner. It does not count as a renewal:
// the owner may be cut off from the store.
func (h *Host) handleAnnouncement(from string, t OwnerAnnouncement) {
	h.noteCatalogueVersion(from, t.CatalogueVersion)
	h.updateLease(func(now time.Duration, state tenure.LeaseState) tenure.LeaseState {
		if t.Fence <= state.Fence {
			return state
		}
		return state.WithLease(now, t.Owner, t.Fence)
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.Fence == h.lease.Fence && from == t.Owner {
		h.link = h.link.WithAnnouncement(clock.Now(), t.Interval, t.Stalled)
	}
}
