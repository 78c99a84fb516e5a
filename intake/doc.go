// Package intake passes the calls of callers on to the owner of the cell, and
// brings the replies back. It may say that nothing was done only while a call has
// not been sent; a call that was sent is sent again, also to the next owner, until
// there is a reply or the caller's time is up.
package intake
