package carrier

import (
	"context"
	"time"
)

// CarryOut is carryOut.
func (c *Carrier) CarryOut(ctx context.Context, received time.Duration, fence int64, call Call) Answer {
	return c.carryOut(ctx, received, fence, call)
}
