package decision

import "github.com/vanillaquay/vanillaquay/task"

// Summary is what a core reports to the other members of its region so that
// they leave its work a fair share of the racks. It is complete: each summary
// replaces the one before.
type Summary struct {
	// Sequence increases with each summary of a member, across restarts too.
	Sequence uint64 `cbor:"1,keyasint"`
	// Needs is ordered by class and share, the neediest first.
	Needs []Need `cbor:"2,keyasint,omitempty"`
	// Uses holds the teams with more than one partition, ordered by name.
	Uses []TeamUsage `cbor:"3,keyasint,omitempty"`
	// Barred holds the workers in quarantine or on probation, ordered by name.
	Barred []string `cbor:"4,keyasint,omitempty"`
	// Reserved is nil unless an all-at-once job has waited for
	// reservationDelay.
	Reserved *Reservation `cbor:"5,keyasint,omitempty"`
}

// Need is work of a team for which a member finds no capacity.
type Need struct {
	Team string `cbor:"1,keyasint"`
	// Class is the priority of the work; 0 is the most urgent.
	Class int `cbor:"2,keyasint,omitempty"`
	// Size is the size of the smallest waiting task.
	Size task.Size `cbor:"3,keyasint"`
	// Used is the team's dominant share of the cell in units of 1/shareUnit.
	Used int64 `cbor:"4,keyasint,omitempty"`
	// Tasks is the number of the team's queued jobs plus the refusals of its
	// tasks since the member last built a summary; at least 1.
	Tasks int `cbor:"5,keyasint,omitempty"`
}

// TeamUsage is what a team's attempts use at one member.
type TeamUsage struct {
	Team string    `cbor:"1,keyasint"`
	Used task.Size `cbor:"2,keyasint"`
}

// shareUnit is the value of Need.Used that stands for the whole cell.
const shareUnit = 10_000

// SummaryReceived carries a summary of another member of the region.
type SummaryReceived struct {
	Member  string
	Summary Summary
}

// MemberExpired reports that no summary of a member has arrived for so long
// that its last one no longer counts.
type MemberExpired struct{ Member string }

// SendSummary asks the driver to send a summary to the other members of the
// region. It is emitted when the summary has changed, at most once every
// summaryInterval, and to renew a reservation.
type SendSummary struct{ Summary Summary }

func (SummaryReceived) isEvent() {}
func (MemberExpired) isEvent()   {}
func (SendSummary) isAction()    {}
