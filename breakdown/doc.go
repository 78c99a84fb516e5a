// Package breakdown reads the logs of entry hosts and tells, for each queue, where its
// jobs spent their time: before their acceptance, waiting for advice, waiting for room,
// at work, and in runs that came to nothing.
package breakdown
