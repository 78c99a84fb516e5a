package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// explainTimeout bounds a call for an explanation; the owner answers within 2 s.
const explainTimeout = 5 * time.Second

// explainCommand tells how the cell handles a job now.
type explainCommand struct {
	Host         string         `required:"" placeholder:"IP:9464" help:"Address of the metrics of any entry host."`
	Job          string         `xor:"what" required:"" help:"ID of a job that is not done."`
	Queue        string         `xor:"what" required:"" help:"Queue of a new job of one step."`
	Tasks        int            `default:"1" help:"Number of tasks of the new job."`
	Processors   float64        `default:"1" help:"Processors of each task."`
	Memory       quantity.Bytes `default:"64MiB" help:"Memory of each task, with a unit."`
	Accelerators int64          `help:"Accelerators of each task."`
	Estimate     time.Duration  `default:"1s" help:"Estimated run time of a task."`
	Gang         bool           `help:"All tasks start together."`
	Requires     string         `help:"Label that a worker must have."`
	Organisation string         `help:"Organisation of the new job."`
	JSON         bool           `name:"json" help:"Print the answer as JSON."`
}

// Help implements kong.HelpProvider.
func (c explainCommand) Help() string {
	return `The owner of the cell answers for this moment; nothing is submitted or changed. The host may
be any entry host run by vanillaquay front.

Example:
  vanillaquay explain --host 10.0.0.1:9464 --job 58cea8641644bbeb
  vanillaquay explain --host 10.0.0.1:9464 --queue wide --tasks 20 --processors 9 --gang --estimate 6s`
}

// Run implements the subcommand.
func (c explainCommand) Run() error {
	address := c.Host
	if _, _, err := net.SplitHostPort(address); err != nil {
		address = net.JoinHostPort(address, strconv.Itoa(front.MetricsPort))
	}
	reply, err := askExplanation(address, c.query())
	if err == nil && reply.Explanation == nil {
		owner := reply.Owner
		if reply, err = askExplanation(reply.Address, c.query()); err != nil {
			return errors.Annotatef(err, "owner %s", owner)
		}
	}
	switch {
	case err != nil:
		return err
	case reply.Explanation == nil:
		return errors.Errorf("the cell has changed its owner to %s (%s), try again", reply.Owner, reply.Address)
	case c.JSON:
		return printJSON(reply)
	}
	writeExplanation(os.Stdout, reply)
	return nil
}

func (c explainCommand) query() cell.Query {
	if c.Job != "" {
		return cell.Query{Job: c.Job}
	}
	return cell.Query{Queue: c.Queue, Organisation: c.Organisation, Step: workload.Step{
		TaskCount: c.Tasks, Estimate: c.Estimate, Gang: c.Gang, Requires: c.Requires,
		Size: task.Size{Processors: int64(c.Processors * float64(task.Processor)), Memory: int64(c.Memory), Accelerators: c.Accelerators},
	}}
}

// askExplanation asks a host. The reply has an explanation or the address of the owner.
func askExplanation(address string, q cell.Query) (front.ExplainReply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return front.ExplainReply{}, errors.Trace(err)
	}
	client := http.Client{Timeout: explainTimeout}
	response, err := client.Post("http://"+address+front.ExplainPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return front.ExplainReply{}, errors.Annotatef(err, "host %s can't be reached", address)
	}
	defer response.Body.Close()
	var reply front.ExplainReply
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return front.ExplainReply{}, errors.Errorf("host %s gives no explanations (status %d)", address, response.StatusCode)
	}
	switch {
	case response.StatusCode == http.StatusOK && reply.Explanation != nil, response.StatusCode == http.StatusMisdirectedRequest:
		return reply, nil
	case response.StatusCode == http.StatusNotFound, response.StatusCode == http.StatusBadRequest:
		return reply, codedError{exitUsage, errors.New(reply.Error)}
	}
	return reply, errors.Errorf("%s (host %s)", reply.Error, reply.Host)
}

// writeExplanation writes an explanation as text.
func writeExplanation(w io.Writer, reply front.ExplainReply) {
	e := reply.Explanation
	if e.Job != "" {
		fmt.Fprintf(w, "job %s: %s (owner %s)\n", e.Job, e.State, reply.Host)
	} else {
		fmt.Fprintf(w, "new job, queue %s (owner %s)\n", e.Queue, reply.Host)
	}
	if e.State.Final() {
		return
	}
	if e.Job != "" {
		removed := ""
		if e.QueueRemoved {
			removed = " (removed by the operator; the job runs on)"
		}
		fmt.Fprintf(w, "queue %s%s, accepted %.1f s ago\n", e.Queue, removed, e.AgeSeconds)
	}
	if e.Refused != "" {
		fmt.Fprintf(w, "would be refused: %s\n", e.Refused)
	}
	if e.Organisation != "" {
		share := "within"
		if e.BeyondShare {
			share = "beyond"
		}
		fmt.Fprintf(w, "organisation %s, %s its share; uses %s", e.Organisation, share, e.Used)
		if !e.Limit.IsZero() {
			fmt.Fprintf(w, " of %s", e.Limit)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "objective %.1f s, due %s\n", e.ObjectiveSeconds, when(e.DueSeconds))
	if e.UndueOccurrences > 0 {
		fmt.Fprintf(w, "%d occurrences are not due yet\n", e.UndueOccurrences)
	}
	for _, s := range e.Steps {
		writeStep(w, s, e.WaitingSteps)
	}
}

func writeStep(w io.Writer, s cell.StepExplanation, waiting int) {
	kind := ""
	if s.Gang {
		kind = " as a gang"
	}
	fmt.Fprintf(w, "step %s: %d tasks%s, %d done; %s, latest start %s\n", s.ID, s.Tasks, kind, s.Done, s.Lateness, when(s.LatestStartSeconds))
	for _, r := range s.Runs {
		fmt.Fprintf(w, "  %s: %s on %s, %.0f%%%s\n", r.Task, r.State, place(r), r.Percent, ends(r))
	}
	for _, p := range s.Starts {
		fmt.Fprintf(w, "  %d tasks would go to %s%s\n", p.Tasks, place(p), ends(p))
	}
	for _, wait := range s.Waits {
		fmt.Fprintf(w, "  %d tasks wait: %s (%s)\n", wait.Tasks, wait.Cause, wait.Detail)
	}
	if s.HoldsRoom {
		fmt.Fprintln(w, "  holds room from the steps after it")
	}
	if s.Rank > 0 {
		fmt.Fprintf(w, "  rank %d of %d waiting steps", s.Rank, waiting)
		if len(s.RankedBefore) > 0 {
			fmt.Fprintf(w, ", the first are %v", s.RankedBefore)
		}
		fmt.Fprintln(w)
	}
}

// place describes the worker of a placement.
func place(p cell.Placement) string {
	return fmt.Sprintf("%s (zone %s, rack %s)", p.Worker, p.Zone, p.Rack)
}

// ends describes the predicted end of a placement.
func ends(p cell.Placement) string {
	if p.EndSeconds == nil || p.LikelyEndSeconds == nil {
		return ", end not known"
	}
	return fmt.Sprintf(", ends %s, in 9 of 10 cases by %.1f s", when(*p.EndSeconds), *p.LikelyEndSeconds)
}

// when describes a time relative to now.
func when(seconds float64) string {
	if seconds < 0 {
		return fmt.Sprintf("%.1f s ago", -seconds)
	}
	return fmt.Sprintf("in %.1f s", seconds)
}
