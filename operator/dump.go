package operator

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/rack"
)

// Limits of a dump.
const (
	// DefaultDumpLimit is the number of entries of each list unless the operator sets
	// another one.
	DefaultDumpLimit = 100
	// MaxDumpLimit is the maximum number of entries of each list.
	MaxDumpLimit = 1_000
	// MaxDumpSize is the maximum size of a dump in bytes of JSON.
	MaxDumpSize = 1 << 20
)

// Dump is the state of one process. Each list has at most the requested number of
// entries; the totals next to them count all entries.
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
	// Queues holds the number of queued values, by queue.
	Queues map[string]int
	// Calls counts the requests in flight from this host's own callers, and Forwarded
	// those from other members.
	Calls     int
	Forwarded int
	Work      decision.Description
	// Missing lists the components that did not answer in time.
	Missing []string `json:",omitempty"`
}

// Lease is the lease of the process as a member.
type Lease struct {
	State string
	// Valid reports whether the lease allows the process to act.
	Valid bool
	Beat  uint64
}

// Partition is a partition that the process owns.
type Partition struct {
	Name  string
	Epoch uint64
	// Ready reports whether its journal has been read.
	Ready bool
	// Waiting is the number of entries that are not written yet.
	Waiting int
}

// Rack is a rack that the process owns.
type Rack struct {
	Name string
	// State is a state of the chart Rack.
	State chart.State
	Epoch uint64
	// Attempts counts the attempts that hold capacity or whose end is not acknowledged.
	Attempts int
	Workers  []rack.WorkerSummary
}
