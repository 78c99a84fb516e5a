package workload

// State is what a caller is told of a job.
type State string

// The states of a job.
const (
	Queued    State = "Queued"
	Running   State = "Running"
	Done      State = "Done"
	Failed    State = "Failed"
	Cancelled State = "Cancelled"
)

// Final reports whether a job stays in the state.
func (s State) Final() bool { return s == Done || s == Failed || s == Cancelled }
