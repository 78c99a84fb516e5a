// Package intake forwards the calls of callers to the owner of the cell, and returns the
// replies. It may report a call as without effect only if no copy of it was sent, or every
// copy that was sent is known to have had none. A call that was sent is sent again, also to
// the next owner, until a reply arrives or the caller's timeout expires.
package intake
