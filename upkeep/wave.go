package upkeep

import "time"

// Wave is a request for the upkeep of a set of machines within a time limit.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time limit for all of them.
	Within time.Duration
	// MaxDown bounds how many machines are down for the wave at once.
	MaxDown int
}

// State is the state of a machine.
type State string

// The states of a machine.
const (
	Up     State = "Up"
	Moving State = "Moving"
	Down   State = "Down"
)

// Machine is a machine as the platform lists it.
type Machine struct {
	ID    string
	State State
	// Worker is the ID of its worker, or "" if it has none.
	Worker string
}

// Outcome is the outcome of an order.
type Outcome string

// The outcomes of an order.
const (
	// Begun means that the upkeep begins now or has begun earlier.
	Begun Outcome = "Begun"
	// Busy means that the machine is not up, or is leaving.
	Busy Outcome = "Busy"
	// Absent means that the machine does not exist, or is not part of the wave.
	Absent Outcome = "Absent"
	// Unknown means that the order may or may not have been carried out.
	Unknown Outcome = "Unknown"
)

// Order is an order to take a machine down for a wave.
type Order struct {
	Wave    int64
	Machine string
}

// Progress is the part of a wave's state that is recorded durably.
type Progress struct {
	Wave int64 `cbor:"1,keyasint"`
	// Begun holds the machines whose upkeep has begun, and those that are absent.
	Begun []string `cbor:"2,keyasint"`
	Done  bool     `cbor:"3,keyasint,omitempty"`
	// Since is when the wave began, in milliseconds since 1970, or 0 if that is not known.
	Since int64 `cbor:"4,keyasint,omitempty"`
	// Blocked holds the machines that wait because too many tasks of a service are
	// unavailable. It is not recorded.
	Blocked []string `cbor:"-"`
}
