package transfer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/clock"
)

// ErrSilent means that the sender was silent for too long.
const ErrSilent = errors.ConstError("no data within the time limit")

// Limits bounds a call.
type Limits struct {
	// Header is the longest time until the header of the answer.
	Header time.Duration
	// Silence is the longest time between two pieces of the body.
	Silence time.Duration
	// Total is the longest time of the whole call after its header; 0 is no limit.
	Total time.Duration
	// Bytes is the longest body that is read; the rest is left out.
	Bytes int64
	// OnHeader is called when the header has arrived. It may be nil.
	OnHeader func()
}

// Response is an answer. With an error, Body is what had arrived.
type Response struct {
	Status int
	Body   []byte
	// HeaderAfter is how long after the call its header arrived; 0 if it did not.
	HeaderAfter time.Duration
}

// Do makes a call. An error satisfies ErrSilent if a time limit was exceeded; others are those of
// the client and of the context of the request.
func Do(client *http.Client, request *http.Request, limits Limits) (Response, error) {
	begun := clock.Now()
	ctx, cancel := context.WithCancelCause(request.Context())
	defer cancel(nil)
	timer := time.AfterFunc(limits.Header, func() { cancel(ErrSilent) })
	defer timer.Stop()
	r, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{}, withCause(ctx, err)
	}
	defer r.Body.Close()
	if limits.OnHeader != nil {
		limits.OnHeader()
	}
	answer := Response{Status: r.StatusCode, HeaderAfter: clock.Now() - begun}
	if limits.Total > 0 {
		total := time.AfterFunc(limits.Total, func() { cancel(ErrSilent) })
		defer total.Stop()
	}
	timer.Reset(limits.Silence)
	body := &progressReader{source: r.Body, onProgress: func() { timer.Reset(limits.Silence) }}
	answer.Body, err = io.ReadAll(io.LimitReader(body, limits.Bytes))
	return answer, withCause(ctx, err)
}

// withCause adds the cause of the end of a context to an error that it led to.
func withCause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
		return errors.WithType(err, ErrSilent)
	}
	return err
}

// progressReader reports each piece that arrives.
type progressReader struct {
	source     io.Reader
	onProgress func()
}

// Read implements io.Reader.
func (p *progressReader) Read(buffer []byte) (int, error) {
	n, err := p.source.Read(buffer)
	if n > 0 {
		p.onProgress()
	}
	return n, err
}
