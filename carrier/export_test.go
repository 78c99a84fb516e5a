package carrier

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/platform"
)

// CarryOut is carryOut.
func (c *Carrier) CarryOut(ctx context.Context, received time.Duration, fence int64, call Call) Answer {
	return c.carryOut(ctx, received, fence, call)
}

// EncodeLists is encodeLists.
var EncodeLists = encodeLists

// Decode is decode.
func (l *Lists) Decode() platform.Lists { return l.decode() }
