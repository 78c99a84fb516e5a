package breakdown

// Phase is a part of a job's time. The phases of a job follow the chain of tasks that ended
// last.
type Phase string

// The phases, in order.
const (
	// Acceptance is from the first call until the owner of the cell has the job.
	Acceptance Phase = "Acceptance"
	// Advice is from there until the first response of the advice service for a step.
	Advice Phase = "Advice"
	// CapacityWait is from there until a task of the step is first placed.
	CapacityWait Phase = "Room"
	// Takeover replaces CapacityWait for a task whose run was taken over by a new owner; it
	// ends when that owner has recovered. The logs do not tell for which part of that time
	// the run was active.
	Takeover Phase = "Takeover"
	// Record is from the placement until the order may be sent, while the job is recorded.
	Record Phase = "Record"
	// Running is the last run of a task, including its start.
	Running Phase = "Running"
	// Rerun is from the first to the last placement of a task that had to run again.
	Rerun Phase = "RunAgain"
	// ReportDelay is from the earliest time at which the last run may have ended until the
	// owner was informed.
	ReportDelay Phase = "Unheard"
	// Unaccounted is time that the logs do not explain.
	Unaccounted Phase = "Untold"
)

// Phases lists the phases in order.
var Phases = []Phase{Acceptance, Advice, CapacityWait, Takeover, Record, Running, Rerun, ReportDelay, Unaccounted}
