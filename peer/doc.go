// Package peer carries messages between entry hosts: watermill messages whose
// payloads are CBOR, over one WebSocket in each direction between two members.
//
// Delivery is at most once and in order within a kind; a sender that needs
// delivery must retry. A message that Send rejects was certainly not delivered.
// A message that Send accepted may be lost with its connection, but is never
// delivered over a later one: a member that opens a new connection replaces its
// earlier one.
//
// Each link has a bounded queue. Answers and reports go before calls and
// commands; if the queue is full, a message is rejected at once. Where only the
// latest value matters, as with a digest, SendLatest keeps one entry in the queue
// and encodes it when it is about to be sent.
//
// Both ends check that the other makes progress. A connection without progress
// for SilenceTimeout is replaced.
package peer
