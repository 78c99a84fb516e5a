package cli

import (
	"net/http"
	"net/url"
	"time"

	"github.com/google/uuid"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
)

// submitCommand submits a piece of work.
type submitCommand struct {
	callerOptions
	ID           string         `help:"Request ID; a repeat with the same ID gets the answer of the first. Default: a new one."`
	Kind         string         `enum:"Request,Service,Batch,AllAtOnce" default:"Request" help:"Request, Service, Batch or AllAtOnce."`
	Tasks        int            `default:"1" help:"Number of tasks or replicas."`
	Processors   float64        `default:"1" help:"Processors of each task."`
	Memory       quantity.Bytes `default:"64MiB" help:"Memory of each task, with a unit."`
	Accelerators int64          `help:"Accelerators of each task."`
	RunTime      time.Duration  `help:"Declared run time of a task."`
	Deadline     time.Duration  `help:"Time from now by which the final answer is needed."`
	Urgent       bool           `help:"Place the work before all that is not urgent."`
	Idempotent   bool           `help:"Tell that running a task twice does no harm."`
	FirstTry     bool           `help:"Tell that the ID was never sent before; implied without --id."`
	Family       string         `help:"Group of like work, for learning sizes."`
	Payload      string         `help:"Payload of each task."`
	Wait         bool           `help:"Wait for the final answer."`
}

// Help implements kong.HelpProvider.
func (c submitCommand) Help() string {
	return `The exit code tells the answer: 0 ran or accepted, 3 not run, 4 unknown, 5 failed.
After 4, repeat the command with the same --id.

Example:
  vanillaquay submit --id hold-17 --payload "12 seats" --deadline 10s
  vanillaquay submit --kind Batch --id nightly-0412 --memory 2GiB --run-time 20m --idempotent
  vanillaquay submit --kind AllAtOnce --tasks 8 --accelerators 1 --idempotent --wait
  vanillaquay submit --kind Service --tasks 3 --id lookup`
}

// Run implements the subcommand.
func (c submitCommand) Run() error {
	work := c.work()
	path := "/v1/work/"
	if c.Wait {
		path += "?wait"
	}
	answer, err := c.request(http.MethodPost, path, work)
	if err != nil {
		return err
	}
	if c.Wait {
		answer, err = c.awaitFinal(answer, http.MethodGet, "/v1/work/"+url.PathEscape(work.ID)+"/answer")
		if err != nil {
			return err
		}
	}
	return c.printAnswer(answer)
}

func (c submitCommand) work() caller.Work {
	w := caller.Work{
		ID: c.ID, Kind: task.Kind(c.Kind), Urgent: c.Urgent, Tasks: c.Tasks,
		Size:    quantity.Size{Processors: c.Processors, Memory: c.Memory, Accelerators: c.Accelerators},
		RunTime: quantity.Duration(c.RunTime), Idempotent: c.Idempotent, FirstTry: c.FirstTry,
		Family: c.Family, Payload: []byte(c.Payload),
	}
	if w.ID == "" {
		w.ID = uuid.NewString()
		w.FirstTry = true
	}
	if c.Deadline > 0 {
		w.Deadline = time.Now().Add(c.Deadline)
	}
	return w
}
