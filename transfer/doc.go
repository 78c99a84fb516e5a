// Package transfer makes HTTP calls whose answers may be large, and are limited by the silence of
// the sender rather than by their whole duration. An answer that makes progress on a busy link is
// worth waiting for: one that is cut off must be sent again from its start, over the same link.
package transfer
