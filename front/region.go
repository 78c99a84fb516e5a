package front

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/mirror"
)

// membersWait bounds how long after its start a host waits to learn who the members are, before it
// reads the configuration.
const membersWait = time.Second

// regionPeers returns the hosts of this region with this one.
func (h *Host) regionPeers(ctx context.Context) []mirror.Peer {
	h.awaitMembers(ctx)
	s := h.settings()
	peers := []mirror.Peer{{Name: s.Host, Processors: s.Processors}}
	for name, m := range h.members.all() {
		if name != s.Host && m.Region == s.Region {
			peers = append(peers, mirror.Peer{Name: name, Address: m.Address, Processors: m.Processors})
		}
	}
	return peers
}

// awaitMembers waits for the first list of the members.
func (h *Host) awaitMembers(ctx context.Context) {
	limited, cancel := context.WithDeadline(ctx, h.startedAt.Add(membersWait))
	defer cancel()
	select {
	case <-h.membersListed:
	case <-limited.Done():
	}
}

// logMirrorAnswer logs a call to another host of the region that failed or returned rows.
func (h *Host) logMirrorAnswer(a mirror.AskStats) {
	fields := logrus.Fields{"host": a.Host, "ms": a.Took.Milliseconds(), "bytes": a.Bytes}
	if a.Err != nil {
		fields["why"] = a.Err.Error()
		h.log.WithFields(fields).Info("front: another host did not tell the configuration")
		return
	}
	fields["rows"] = a.Rows
	h.log.WithFields(fields).Info("front: configuration read from another host")
}
