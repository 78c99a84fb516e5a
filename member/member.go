package member

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Intervals of leases in a cell so small that its renewals stay within the write budget.
const (
	// HeartbeatInterval is the least interval between two renewals.
	HeartbeatInterval = 1500 * time.Millisecond
	// LeaseDuration is how long a lease is valid after its renewal was sent.
	LeaseDuration = heartbeatsPerLease * HeartbeatInterval
	// DriftMargin is how long observers wait after a lease has expired before they
	// treat it as lapsed. It covers clock rate differences and read latency.
	DriftMargin = 500 * time.Millisecond
)

// heartbeatsPerLease is the length of a lease in heartbeat intervals.
const heartbeatsPerLease = 4

// KeyPrefix begins the key of every member's row.
const KeyPrefix = "member/"

// RenewalInterval returns the interval between two renewals in a cell with the given
// number of members. It grows with that number, so that the renewals of all members
// stay within tablestore.HeartbeatWriteBudget per second.
func RenewalInterval(members int) time.Duration {
	return max(HeartbeatInterval, time.Duration(members)*time.Second/tablestore.HeartbeatWriteBudget)
}

// Member is the content of a member's row. Its methods return copies.
type Member struct {
	// ID is the name of the entry host.
	ID string `json:"ID"`
	// Instance changes after every restart and every fencing.
	Instance string `json:"Instance"`
	// Address is the address to which other members connect.
	Address string `json:"Address"`
	Region  string `json:"Region"`
	Zone    string `json:"Zone"`
	// State is a state of the chart Member, or "Fenced".
	State string `json:"State"`
	// Beat increases with every renewal.
	Beat uint64 `json:"Beat"`
	// Lease is how long the lease is valid after this renewal, in nanoseconds. It is
	// at least LeaseDuration.
	Lease time.Duration `json:"Lease"`
}

// Decode decodes the value of a member's row.
func Decode(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, errors.Annotate(err, "decode member row")
	}
	if m.ID == "" {
		return Member{}, errors.NotValidf("member without an ID")
	}
	m.Lease = max(m.Lease, LeaseDuration)
	return m, nil
}

// WithState returns a copy in another state.
func (m Member) WithState(state string) Member {
	m.State = state
	return m
}

// WithInstance returns a copy that is another instance of the same host.
func (m Member) WithInstance(instance string) Member {
	m.Instance = instance
	return m
}

// WithLease returns a copy with a lease of the given duration, at least LeaseDuration.
func (m Member) WithLease(duration time.Duration) Member {
	m.Lease = max(duration, LeaseDuration)
	return m
}

// withNextBeat returns a copy with the Beat of the next renewal.
func (m Member) withNextBeat() Member {
	m.Beat++
	return m
}
