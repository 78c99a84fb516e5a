// Package witness lets the owner of a rack continue while the platform is unreachable,
// and lets the next owner verify that the previous one has stopped.
//
// An owner whose own lease has expired can't distinguish an outage of the platform, in
// which its runs must continue, from a network partition that isolates it alone, in
// which another member may have taken over its racks. The members of its region act as
// witnesses. The rules are those of two quorums that intersect in at least one witness:
//
//   - The owner renews the leases of workers only while at least half of the witnesses
//     answer that they know of no later owner. An answer is valid for a short time from
//     when its question was asked.
//   - The next owner declares attempts that no worker has reported to it lost only after
//     more than half of the witnesses have answered to its epoch, and then only after
//     the leases renewed before that have expired.
//
// A witness that has answered to an epoch reports it to every owner that asks with a
// lower one. A restarted witness doesn't answer before it has read the owner rows, which
// hold every epoch that it may have answered to before.
//
// The package does no I/O, starts no goroutines and reads no clock.
package witness
