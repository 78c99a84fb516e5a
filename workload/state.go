package workload

// State is the state of a job as reported to its caller.
type State string

// The states of a job.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Done      State = "Done"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether the state of a job can no longer change.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }
