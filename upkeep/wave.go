package upkeep

import "time"

// Wave asks that each of some machines has its upkeep in time.
type Wave struct {
	Number   int64
	Machines []string
	// Within is the time for all of them.
	Within time.Duration
	// MaxDown is how many may be down for the wave at once.
	MaxDown int
}

// State is what a machine does.
type State string

// The states of a machine.
const (
	Up     State = "Up"
	Moving State = "Moving"
	Down   State = "Down"
)

// Machine is one machine as the platform lists it.
type Machine struct {
	ID    string
	State State
	// Worker is the ID of its worker; "" is none.
	Worker string
}

// Outcome is what became of an order.
type Outcome string

// The answers.
const (
	// Begun is an upkeep that begins now or has begun earlier.
	Begun Outcome = "Begun"
	// Busy is a machine that is not up, or that leaves.
	Busy Outcome = "Busy"
	// Absent is a machine that is not there, or not of the wave.
	Absent Outcome = "Absent"
	// Unknown is an order that may have been carried out.
	Unknown Outcome = "Unknown"
)

// Order takes a machine down.
type Order struct {
	Wave    int64
	Machine string
}

// Progress is what must last of a wave.
type Progress struct {
	Wave int64 `cbor:"1,keyasint"`
	// Begun holds the machines whose upkeep has begun, or that are gone.
	Begun []string `cbor:"2,keyasint"`
	Done  bool     `cbor:"3,keyasint,omitempty"`
	// Since is when the wave began, in milliseconds since 1970; 0 is not known.
	Since int64 `cbor:"4,keyasint,omitempty"`
}
