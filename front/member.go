package front

import (
	"context"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// registerRetryInterval is the pause before a host retries to write its row.
	registerRetryInterval = 500 * time.Millisecond
	// maxMemberProcessors bounds the processor time that a host may state, in cores.
	maxMemberProcessors = 1_000_000
	// minMemberMemory is the least memory that a host may state, in bytes: the process itself takes
	// some 30 MB.
	minMemberMemory = 64 << 20
	// memberWatchPause is the minimum interval between two calls of the watch of members,
	// which change over minutes, not seconds.
	memberWatchPause = 500 * time.Millisecond
)

// member is the row of an entry host.
type member struct {
	Address     string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Region      string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Processors is the host's share of processor time, in cores; 0 if not known.
	Processors float64 `cbor:"5,keyasint,omitempty"`
	// Memory bounds the memory of the process, in bytes; 0 if not known.
	Memory int64 `cbor:"6,keyasint,omitempty"`
}

// members holds the known entry hosts, as read from their rows.
type members struct {
	mu     sync.Mutex
	byName map[string]member
	// onChange is called after each change.
	onChange func()
}

// resolve returns the address of a member for links to it.
func (m *members) resolve(name string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.byName[name]
	return k.Address, ok
}

// names returns the names of the members, sorted.
func (m *members) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.byName))
}

// all returns the rows of all members.
func (m *members) all() map[string]member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.byName)
}

// leastMemory returns the memory of the smallest of the members, in bytes, all of which may take the
// cell over. One that does not state its memory counts as one of the smallest hosts, and one that
// states less than any host can have as well.
func (m *members) leastMemory() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	least := int64(math.MaxInt64)
	for _, k := range m.byName {
		memory := k.Memory
		if memory < minMemberMemory {
			memory = defaultMemory
		}
		least = min(least, memory)
	}
	return least
}

func (m *members) replaceAll(rows []ledger.Row) {
	known := map[string]member{}
	for _, r := range rows {
		if k, ok := decodeMember(r); ok {
			known[r.Key] = k
		}
	}
	m.mu.Lock()
	m.byName = known
	m.mu.Unlock()
	m.onChange()
}

func (m *members) applyChange(r ledger.Row) {
	k, ok := decodeMember(r)
	m.mu.Lock()
	if r.Deleted {
		delete(m.byName, r.Key)
	} else if ok {
		m.byName[r.Key] = k
	}
	m.mu.Unlock()
	m.onChange()
}

// decodeMember decodes the row of a host, and reports whether it is valid. A number of
// processors out of bounds, or none, would make all other hosts seem too small to own the cell.
func decodeMember(r ledger.Row) (member, bool) {
	var k member
	err := codec.Unmarshal(r.Value, &k)
	return k, err == nil && k.Address != "" && k.Processors >= 0 && k.Processors <= maxMemberProcessors
}

// registerMember writes the row of this host, retrying until the store has recorded it.
func (h *Host) registerMember(ctx context.Context) {
	s := h.settings()
	value, err := codec.Marshal(member{
		Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)), Zone: s.Zone, Region: s.Region, Incarnation: h.incarnation, Processors: s.Processors, Memory: s.MemoryLimit,
	})
	if err != nil {
		h.log.WithError(err).Error("front: encoding the member row of this host failed")
		return
	}
	row := ledger.Row{Table: ledger.MemberTable, Key: s.Host, Value: value}
	if ledger.Put(ctx, h.store, row, registerRetryInterval) {
		h.log.WithFields(logrus.Fields{"address": s.IP, "port": s.PeerPort}).Info("front: registered as a member")
	}
}

// watchMembers follows the rows of all hosts.
func (h *Host) watchMembers(ctx context.Context) {
	listed := sync.OnceFunc(func() { close(h.membersListed) })
	ledger.Watch{
		Store: h.store, Table: ledger.MemberTable, MinInterval: memberWatchPause,
		OnList: func(rows []ledger.Row) {
			h.members.replaceAll(rows)
			listed()
		},
		OnChange: h.members.applyChange, Reissue: h.membersRefresh.Values(),
		OnError: func(err error) { h.log.WithField("why", err.Error()).Warn("front: members not read") },
	}.Run(ctx)
}
