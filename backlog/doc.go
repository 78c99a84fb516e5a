// Package backlog bounds the memory of the jobs that the owner of a cell holds, by what every host
// that may become the owner can hold. It answers a load of more jobs than the workers end: callers
// that don't wait for the end of one job before they submit the next. It is pure.
package backlog
