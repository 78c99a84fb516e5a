// Package decision is the core of the scheduler: it decides which work starts
// when and in which rack, and how callers are answered. It has no I/O, no
// goroutines and no clock. A driver feeds it typed events, each with the time at
// which it happened, and carries out the typed actions that Apply returns. The
// same events at the same times with the same Options give the same actions.
//
// # The loop of a driver
//
//	core := decision.New(decision.Options{Region: "centro"})
//	for e := range events {
//		for _, a := range core.Apply(now(), e) {
//			switch a := a.(type) {
//			case decision.Record:  // make a.Entry durable, then apply Recorded or RecordFailed
//			case decision.Command: // send to the owner of a.Rack, which answers with Reports
//			case decision.Reply:   // answer the caller with the number a.Caller
//			}
//		}
//	}
//
// Apply is not safe for concurrent use, and its result is valid until the next
// call. An event that an action causes at once, such as Recorded by a journal in
// memory, must be applied after all actions of the call were carried out.
//
// # Rules for a driver
//
// Time. Events must be applied in the order of their times. A Tick is due about
// every 100 ms: deadlines, backoff and queries to racks depend on it.
//
// Callers. Submitted, Queried and Cancelled carry a number chosen by the driver,
// and each gets exactly one Reply, unless the driver discards the core. With Wait
// the Reply is the final answer, or reports that the deadline has passed. Without
// it, the Reply comes as soon as the work is accepted. Work.FirstTry reports that
// the ID was never sent before: only then may a refusal of work without a durable
// record say that it did not run.
//
// Racks. DigestChanged carries the free capacity of a rack; a digest of a lower
// epoch or sequence is ignored. Commands and reports may be lost, duplicated,
// delayed and reordered, but a rack's owner guarantees the following. It starts an
// attempt at most once, and never after it reported Refused for the attempt. It
// answers a Withdraw or Settle of an unknown attempt with Refused, and refuses the
// attempt from then on. It repeats Ended until a Forget. Report.Epoch and
// Report.Sequence are those of the first digest that includes the change. After a
// second without an answer the core repeats a Withdraw, and follows up any other
// command with a Settle; it sends one for a running attempt every 30 s.
//
// Records. Each Record is answered by one Recorded or RecordFailed with its token,
// in the order of the records of a partition. A RecordFailed in doubt is followed
// by a second answer, see RecordFailed. Entries of a partition become durable in
// the order of their Records.
//
// Members. SendSummary goes to the drivers of the other members of the region,
// which apply it as SummaryReceived; it may be lost, delayed or reordered.
// MemberExpired follows when nothing was received from a member for some seconds.
//
// Partitions. PartitionRecovered reports that the driver owns a partition, with the
// content of its journal; PartitionLost that it no longer does. Snapshot returns
// entries that replace the journal so far. A driver that owns only some partitions
// sets Options.PartitionOf. Work with an empty partition is accepted only if it
// needs no record. LeaseChanged reports whether the driver's lease is valid; while
// it is not, no work that needs a record starts.
//
// # Guarantees
//
// The tests in property_test.go and simulation_test.go check the guarantees, which
// hold under any order and loss of the above: no two attempts of a task with a
// record run at once, work that is not idempotent starts at most once over all
// owners, an answer NotRun is true, and work is neither lost nor duplicated. An
// idempotent request has no record, so that two owners may each start it once.
//
// # Files
//
// submit.go and admit.go accept work, queue.go and place.go order and place it,
// choose.go chooses workers, and reserve.go reserves them for gangs. summary.go,
// peers.go and yield.go share the racks with other members. report.go and end.go
// follow attempts to their end, and durable.go and recover.go handle the journal.
// The life cycles are the charts Request and Attempt of package chart.
package decision
