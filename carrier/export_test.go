package carrier

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/platform"
)

// Execute calls execute.
func (c *Carrier) Execute(ctx context.Context, received time.Duration, fence int64, call Call) Answer {
	return c.execute(ctx, received, fence, Calls{Calls: []Call{call}}.instance(0), call)
}

// EncodeLists exports encodeLists.
var EncodeLists = encodeLists

// Decode calls decode.
func (l *Lists) Decode() platform.HoldResponse { return l.decode() }
