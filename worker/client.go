package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Limits of the client.
const (
	// CommandTimeout bounds the call that delivers one batch of commands.
	CommandTimeout = 2 * time.Second
	// LongPollTimeout bounds how long the agent waits for an event before it
	// returns an empty answer.
	LongPollTimeout = 2 * time.Second
	// maxAnswerBytes bounds the number of bytes read from one answer.
	maxAnswerBytes = 64 << 20
)

// Errors reported by a worker's agent.
const (
	// ErrFenced means that the worker has accepted a higher epoch or session.
	ErrFenced = errors.ConstError("worker has accepted a higher epoch or session")
	// ErrRestarted means that the agent has restarted and did not execute the
	// batch.
	ErrRestarted = errors.ConstError("agent has restarted")
	// ErrOtherWorker means that another worker listens at the address.
	ErrOtherWorker = errors.ConstError("another worker listens at the address")
)

// Client calls the agent of one worker. Use NewClient to create one.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the agent at address, such as
// "127.0.0.1:7100".
func NewClient(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 4
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Adopt claims the worker under an epoch and returns its inventory.
func (c *Client) Adopt(ctx context.Context, a Adopt) (Inventory, error) {
	var inventory Inventory
	if err := c.call(ctx, http.MethodPost, AdoptPath, CommandTimeout, a, &inventory); err != nil {
		return Inventory{}, err
	}
	if inventory.Worker != a.Worker {
		// An agent of an earlier version does not check which worker is meant.
		return Inventory{}, errors.WithType(errors.Errorf("inventory of worker %q", inventory.Worker), ErrOtherWorker)
	}
	return inventory, nil
}

// Send delivers a batch and returns one result per command.
func (c *Client) Send(ctx context.Context, b Batch) (Results, error) {
	var results Results
	if err := c.call(ctx, http.MethodPost, CommandsPath, CommandTimeout, b, &results); err != nil {
		return Results{}, err
	}
	return results, results.check(len(b.Commands))
}

// check returns an error unless the agent accepted the batch and returned one
// result per command.
func (r Results) check(commands int) error {
	switch {
	case r.Fenced > 0:
		return errors.WithType(errors.Errorf("batch refused by a worker at epoch %d", r.Fenced), ErrFenced)
	case r.Restarted:
		return errors.WithType(errors.New("batch refused by a restarted agent"), ErrRestarted)
	case len(r.Results) != commands:
		return errors.NotValidf("%d results for %d commands", len(r.Results), commands)
	default:
		return nil
	}
}

// Events returns the events after the given sequence number. It waits up to
// LongPollTimeout for the first one.
func (c *Client) Events(ctx context.Context, after uint64) (Events, error) {
	query := url.Values{
		"after": {strconv.FormatUint(after, 10)},
		"wait":  {LongPollTimeout.String()},
	}
	var events Events
	err := c.call(ctx, http.MethodGet, EventsPath+"?"+query.Encode(), LongPollTimeout+CommandTimeout, nil, &events)
	return events, err
}

func (c *Client) call(ctx context.Context, method, path string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Trace(err)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		// Drops idle connections, so that the next call opens a new one: the
		// existing ones may be broken without having been closed.
		c.http.CloseIdleConnections()
		return errors.Annotatef(err, "%s %s", method, path)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return errors.WithType(errors.Errorf("%s %s", method, path), ErrFenced)
	case http.StatusMisdirectedRequest:
		return errors.WithType(errors.Errorf("%s %s", method, path), ErrOtherWorker)
	default:
		return errors.Errorf("%s %s: status %d", method, path, answer.StatusCode)
	}
	return errors.Annotatef(json.Unmarshal(data, out), "%s %s", method, path)
}
