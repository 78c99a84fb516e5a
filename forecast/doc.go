// Package forecast predicts how long tasks run. A Model holds, for one queue, the distribution
// of run times given the declared estimate. It is pure: observations go in, predictions come
// out.
package forecast
