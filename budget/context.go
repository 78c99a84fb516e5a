package budget

import "context"

// chargeKey is the key of a charge in the context of a request.
type chargeKey struct{}

// NewContext returns the context of a request with a charge.
func NewContext(ctx context.Context, c *Charge) context.Context {
	return context.WithValue(ctx, chargeKey{}, c)
}

// FromContext returns the charge of a request, or nil if it has none.
func FromContext(ctx context.Context) *Charge {
	c, _ := ctx.Value(chargeKey{}).(*Charge)
	return c
}
