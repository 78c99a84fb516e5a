// Package rackowner decides which attempts start in the racks that one entry host owns. It
// receives commands from the owners of partitions and reports back to them; it sends
// starts and stops to the workers of the racks and receives their events.
//
// The following holds despite any fault of the workers, the other members or the network:
//
//   - An attempt is reported as Refused only when it has not started and can no longer
//     start: every worker of the rack on which it might run has sent its inventory under
//     this owner's epoch, or its leases have certainly lapsed. A refused attempt stays
//     refused if its start arrives later.
//   - An attempt is reported as Ended only when it no longer runs. The report is
//     repeated until the owner of the partition sends Forget.
//   - A command under an outdated claim on its partition is not executed.
//   - The reservations on a worker never exceed its capacity, and a leaving worker
//     receives no new attempts.
//
// The package has no I/O, no goroutines and no clock: every method takes the current time,
// and a Port executes the decisions.
package rackowner
