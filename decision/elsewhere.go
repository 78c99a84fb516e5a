package decision

import "github.com/vanillaquay/vanillaquay/task"

// Summary is what a core tells the other members of its region about its work,
// so that they leave it its share of the racks. It holds all that counts: the
// latest one replaces those before.
type Summary struct {
	// Sequence rises with each summary of a member, after a restart too.
	Sequence uint64 `cbor:"1,keyasint"`
	// Needs is in order of class and share, the neediest first.
	Needs []Need `cbor:"2,keyasint,omitempty"`
	// Uses holds the teams with more than one partition, in order of name.
	Uses []TeamUsage `cbor:"3,keyasint,omitempty"`
	// Barred holds the workers in quarantine or on probation, in order of name.
	Barred []string `cbor:"4,keyasint,omitempty"`
	// Reserved is nil unless an all-at-once job has waited for long.
	Reserved *Reservation `cbor:"5,keyasint,omitempty"`
}

// Need is work of a team for which a member finds no room.
type Need struct {
	Team string `cbor:"1,keyasint"`
	// Class is the order in which work is placed; 0 is the most urgent.
	Class int `cbor:"2,keyasint,omitempty"`
	// Size is that of the smallest task that waits.
	Size task.Size `cbor:"3,keyasint"`
	// Used is what the team has of the cell, in parts of shareUnit.
	Used int64 `cbor:"4,keyasint,omitempty"`
	// Tasks is how many tasks found no room since the last summary.
	Tasks int `cbor:"5,keyasint,omitempty"`
}

// TeamUsage is what the attempts of a team take at one member.
type TeamUsage struct {
	Team string    `cbor:"1,keyasint"`
	Used task.Size `cbor:"2,keyasint"`
}

// shareUnit is the whole cell in the shares of a Need.
const shareUnit = 10_000

// SummaryReceived tells what another member of the region has told last.
type SummaryReceived struct {
	Member  string
	Summary Summary
}

// MemberExpired tells that a member has not been heard for so long that what it has
// told counts no more.
type MemberExpired struct{ Member string }

// SendSummary asks to make a summary known to the other members of the region. It is
// due whenever the summary has changed, about once a second at most.
type SendSummary struct{ Summary Summary }

func (SummaryReceived) isEvent() {}
func (MemberExpired) isEvent()   {}
func (SendSummary) isAction()    {}
