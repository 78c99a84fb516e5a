package server

import (
	"io"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/clock"
)

const (
	// bodyGrace is the time that any body may take to arrive, and minBodyRate the rate, in bytes a
	// second, of one that takes longer. Callers send bodies of 262,144 bytes within 2 s, and wait
	// for 3 s at most.
	bodyGrace   = 3 * time.Second
	minBodyRate = 64 << 10
	// readPause is the time between two reads of a body of more than pacedBytes while much of the
	// memory for requests is held, so that processor time is left for others: a body then arrives at
	// up to 480 KiB/s. Without it, while 2,000 clients sent large bodies in chunks of 4 bytes, again
	// a second after they were cut off, none of 5 ordinary requests was answered in time, and with it
	// each of 93.
	readPause  = 50 * time.Millisecond
	pacedBytes = 16 << 10
)

const (
	// ErrDropped is the error of reading the body of a request that was dropped for want of
	// memory.
	ErrDropped = errors.ConstError("request dropped for want of memory")
	// ErrTooSlow is the error of reading a body that doesn't arrive in time.
	ErrTooSlow = errors.ConstError("body arrives too slowly")
)

// body is the body of a request, charged as it arrives.
type body struct {
	io.ReadCloser
	connection *connection
	charge     *budget.Charge
	begun      time.Time
	received   int64
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if err := b.connection.SetReadDeadline(b.begun.Add(b.allowed())); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if n > 0 && !b.charge.Receive(clock.Now(), budget.ReadCost*int64(n)) {
		b.connection.abort()
		return 0, ErrDropped
	}
	switch {
	case errors.Is(err, io.EOF):
		if !b.charge.Complete() || !b.connection.changePhase(handling) {
			return 0, ErrDropped
		}
		// The handler may take longer than the body.
		if err := b.connection.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
	case err == nil && b.received >= pacedBytes && b.charge.IsBusy():
		b.connection.pause()
	case err != nil && b.connection.isAborted():
		return n, ErrDropped
	case isTimeout(err):
		b.connection.server.Counters.BodiesTooSlow.Add(1)
		// The rest isn't waited for.
		b.connection.abort()
		return n, ErrTooSlow
	}
	return n, err
}

// allowed returns the time that the body may have taken by now.
func (b *body) allowed() time.Duration {
	if timeout := b.connection.server.BodyTimeout; timeout > 0 {
		return timeout
	}
	return bodyGrace + time.Duration(b.received)*time.Second/minBodyRate
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
