package member

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Pace of the leases of a cell so small that the budget of writes allows it.
const (
	// HeartbeatInterval is the least pause between two renewals.
	HeartbeatInterval = 1500 * time.Millisecond
	// LeaseDuration is how long a member may act after it sent a renewal.
	LeaseDuration = heartbeatsPerLease * HeartbeatInterval
	// DriftMargin is added before others act on a lapsed lease; it covers
	// clocks that run at different rates and the lag of reading.
	DriftMargin = 500 * time.Millisecond
)

// heartbeatsPerLease is the number of intervals that a lease lasts.
const heartbeatsPerLease = 4

// KeyPrefix begins the key of every member's row.
const KeyPrefix = "member/"

// RenewalInterval returns the pause between two renewals in a cell with the given
// number of members. It stretches so that all renewals together stay within
// tablestore.HeartbeatWriteBudget.
func RenewalInterval(members int) time.Duration {
	return max(HeartbeatInterval, time.Duration(members)*time.Second/tablestore.HeartbeatWriteBudget)
}

// Member is the content of a member's row. It is immutable.
type Member struct {
	// ID is the name of the entry host.
	ID string `json:"ID"`
	// Instance differs after every restart, and after every fencing.
	Instance string `json:"Instance"`
	// Address is where the other members connect to.
	Address string `json:"Address"`
	Region  string `json:"Region"`
	Zone    string `json:"Zone"`
	// State is a state of the chart Member.
	State string `json:"State"`
	// Beat rises with every renewal.
	Beat uint64 `json:"Beat"`
	// Lease is how long the member may act after this renewal, in nanoseconds.
	// It is never below LeaseLength.
	Lease time.Duration `json:"Lease"`
}

// Decode reads the value of a member's row.
func Decode(value []byte) (Member, error) {
	var m Member
	if err := json.Unmarshal(value, &m); err != nil {
		return Member{}, errors.Annotate(err, "member")
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

// WithLease returns a copy with a lease of the given length.
func (m Member) WithLease(length time.Duration) Member {
	m.Lease = max(length, LeaseDuration)
	return m
}

// withNextBeat returns a copy for the next renewal.
func (m Member) withNextBeat() Member {
	m.Beat++
	return m
}
