package operator

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/rack"
)

// Bounds of a dump.
const (
	// DefaultDumpLimit is the number of entries of each list unless the
	// operator asks for another.
	DefaultDumpLimit = 100
	// MaxDumpLimit is the largest number of entries of each list.
	MaxDumpLimit = 1_000
	// MaxDumpSize is the largest dump in bytes of JSON.
	MaxDumpSize = 1 << 20
)

// Dump is the state of one process. Each list has at most the asked number of
// entries; the totals beside them count all.
type Dump struct {
	Host    string
	At      time.Time
	Members []member.Member
	// MembersTotal counts the active members.
	MembersTotal int
	Lease        Lease
	// ConfigurationVersion is the version in force at this process.
	ConfigurationVersion uint64
	Drained              bool
	Partitions           []Partition
	PartitionsTotal      int
	Racks                []Rack
	RacksTotal           int
	// Queues holds the number of values that wait, by queue.
	Queues map[string]int
	// Calls counts the requests in flight of this host's own callers, and
	// Forwarded those that other members sent.
	Calls     int
	Forwarded int
	Work      decision.Description
	// Missing names the duties that did not answer in time.
	Missing []string `json:",omitempty"`
}

// Lease is that of the process as a member.
type Lease struct {
	State string
	// Valid tells whether the process may act.
	Valid bool
	Beat  uint64
}

// Partition is a partition that the process owns.
type Partition struct {
	Name  string
	Epoch uint64
	// Ready tells that its journal was read.
	Ready bool
	// Waiting is the number of entries that wait to be written.
	Waiting int
}

// Rack is a rack that the process owns.
type Rack struct {
	Name string
	// State is a state of the chart Rack.
	State chart.State
	Epoch uint64
	// Attempts counts those that have room or whose end is not acknowledged.
	Attempts int
	Workers  []rack.WorkerSummary
}
