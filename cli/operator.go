package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/operator"
)

// operatorOptions holds the flags of every subcommand for operators.
type operatorOptions struct {
	Address   string `default:"127.0.0.1:7100" help:"Address of an entry host for operators; https:// in front of it for TLS."`
	Token     string `env:"VANILLAQUAY_OPERATOR_TOKEN" help:"Bearer token of the operator."`
	Authority string `type:"path" help:"PEM file with the certificates to trust."`
	Output    string `enum:"text,json" default:"text" help:"Form of the answer: text or json."`
}

// changeOptions holds the flags of every subcommand that changes the
// configuration.
type changeOptions struct {
	operatorOptions
	Wait time.Duration `default:"4s" help:"How long to wait until the change is in force at every member."`
}

// get sends a GET request and decodes the answer.
func (o operatorOptions) get(path string, into any) error {
	return o.call(http.MethodGet, path, nil, into)
}

// call sends one HTTP request and decodes the answer. Any status other than 200
// is an error.
func (o operatorOptions) call(method, path string, body, into any) error {
	status, data, err := httpCall{
		address: o.Address, token: o.Token, authority: o.Authority, method: method, path: path, body: body,
	}.send()
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return o.printFailure(status, data)
	}
	return errors.Annotate(json.Unmarshal(data, into), "answer")
}

// printFailure prints the body of an error response as JSON, or only its differences
// as text, and returns the response as an error with an exit code.
func (o operatorOptions) printFailure(status int, data []byte) error {
	var f operator.Failure
	if err := json.Unmarshal(data, &f); err != nil {
		return codedError{exitUnknown, errors.Errorf("status %d: %s", status, data)}
	}
	if o.Output == "json" {
		fmt.Printf("%s\n", bytes.TrimSpace(data))
	} else {
		printDifferences(f.Differences)
	}
	code := exitUsage
	switch status {
	case http.StatusConflict:
		code = exitConflict
	case http.StatusServiceUnavailable:
		code = exitNotRun
	case http.StatusGatewayTimeout:
		code = exitUnknown
	}
	return codedError{code, errors.Errorf("%s (%s)", f.Reason, f.Code)}
}

// change sends a change of the configuration and prints its state and the members
// that have not applied it yet.
func (o changeOptions) change(method, path string, body any) error {
	return o.changeWithQuery(method, path, "", body)
}

// changeWithQuery is like change with additional query parameters, each preceded
// by an ampersand.
func (o changeOptions) changeWithQuery(method, path, query string, body any) error {
	var r operator.Result
	if err := o.call(method, path+"?wait="+o.Wait.String()+query, body, &r); err != nil {
		return err
	}
	if o.Output == "json" {
		return printJSON(r)
	}
	fmt.Printf("version %d: %s\n", r.Version, r.State)
	for _, name := range r.Behind {
		fmt.Printf("not yet at %s\n", name)
	}
	return nil
}

func printDifferences(differences []configuration.Difference) {
	for _, d := range differences {
		fmt.Printf("%s: %s -> %s\n", d.Path, d.From, d.To)
	}
}

func printJSON(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

// printIndented prints a value as indented JSON, for reading and editing.
func printIndented(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
