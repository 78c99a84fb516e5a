// Package chart interprets the state charts of the scheduler. A chart is a JSON
// file in this package that lists the states of one life cycle and, for each
// state, the next state on each event. The code stores the current state and
// looks up the next one in the chart; an event that the chart does not list for
// the current state is an error.
package chart
