package breakdown

// Phase is a part of a job's time. The phases of a job follow the chain of tasks that
// ended last.
type Phase string

// The phases, in their order.
const (
	// Acceptance is from the first call until the owner of the cell has the job.
	Acceptance Phase = "Acceptance"
	// Advice is until the first answer of the advice service for a step.
	Advice Phase = "Advice"
	// CapacityWait is from then until a task of the step is first placed.
	CapacityWait Phase = "Room"
	// Takeover takes the place of Room for a task whose run a new owner took over: until
	// that has recovered. How much of it the run was under way is not in the logs.
	Takeover Phase = "Takeover"
	// Record is from there until its order may leave, as the job is recorded.
	Record Phase = "Record"
	// Running is the last run of a task, including its start.
	Running Phase = "Running"
	// Rerun is from the first placement of a task that had to run again to its last.
	Rerun Phase = "RunAgain"
	// ReportDelay is from the earliest moment at which the last run may have ended until the
	// owner heard of it.
	ReportDelay Phase = "Unheard"
	// Unaccounted is time of which the logs say nothing.
	Unaccounted Phase = "Untold"
)

// Phases lists the phases in their order.
var Phases = []Phase{Acceptance, Advice, CapacityWait, Takeover, Record, Running, Rerun, ReportDelay, Unaccounted}
