package cli

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/task"
)

// callerOptions holds the flags of every subcommand for callers.
type callerOptions struct {
	Address   string `default:"127.0.0.1:7000" help:"Address of an entry host for callers; https:// in front of it for TLS."`
	Token     string `env:"VANILLAQUAY_TOKEN" help:"Bearer token of the team."`
	Authority string `type:"path" help:"PEM file with the certificates to trust."`
	Output    string `enum:"text,json" default:"text" help:"Form of the answer: text or json."`
}

// call sends one HTTP request and prints the answer.
func (o callerOptions) call(method, path string, body any) error {
	answer, err := o.request(method, path, body)
	if err != nil {
		return err
	}
	return o.printAnswer(answer)
}

// request sends one HTTP request and decodes the answer.
func (o callerOptions) request(method, path string, body any) (caller.Answer, error) {
	_, data, err := httpCall{
		address: o.Address, token: o.Token, authority: o.Authority, method: method, path: path, body: body,
	}.send()
	if err != nil {
		return caller.Answer{}, err
	}
	var answer caller.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return caller.Answer{}, codedError{exitUnknown, errors.Annotate(err, "answer")}
	}
	return answer, nil
}

// awaitFinal polls for the final answer, at the interval that each answer gives as
// RetryAfter.
func (o callerOptions) awaitFinal(answer caller.Answer, method, path string) (caller.Answer, error) {
	for !answer.State.Final() {
		time.Sleep(time.Duration(answer.RetryAfter))
		var err error
		if answer, err = o.request(method, path, nil); err != nil {
			return caller.Answer{}, err
		}
	}
	return answer, nil
}

// printAnswer prints an answer and returns the error for its exit code.
func (o callerOptions) printAnswer(a caller.Answer) error {
	if o.Output == "json" {
		if err := printJSON(a); err != nil {
			return err
		}
		return exitErrorOf(a)
	}
	fmt.Printf("%s: %s\n", a.ID, a.State)
	for i, body := range a.Bodies {
		worker := ""
		if i < len(a.Workers) {
			worker = a.Workers[i]
		}
		fmt.Printf("task %d on %s: %s\n", i, worker, body)
	}
	if a.RetryAfter > 0 && a.State.Final() {
		fmt.Printf("come back in %v\n", a.RetryAfter)
	}
	return exitErrorOf(a)
}

// exitErrorOf returns the error with the exit code for the state of an answer, or
// nil for exit code 0.
func exitErrorOf(a caller.Answer) error {
	err := errors.Errorf("%s (%s)", a.Reason, a.Code)
	switch {
	case a.Code == caller.CodeBadToken, a.Code == caller.CodeBadWork, a.Code == caller.CodeBadBody:
		return codedError{exitUsage, err}
	case a.State == task.NotRun:
		return codedError{exitNotRun, err}
	case a.State == task.Unknown:
		return codedError{exitUnknown, err}
	case a.State == task.Failed:
		return codedError{exitFailed, err}
	default:
		return nil
	}
}
