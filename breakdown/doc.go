// Package breakdown reads the logs of the hosts of a day and tells where the time of its
// jobs went: by queue, size class, availability zone, second and phase, with the worst
// windows and what happened in them. It says what the logs don't tell.
package breakdown
