// Package baseline holds simple schedulers to compare the decision core with:
// first fit in order of arrival, best fit without classes, and the better of
// two random workers. They process the same events and return the same actions
// as the core, so that one driver runs them all. They write to the journal what
// must be durable, as the core does, but have no teams, classes or preemption.
package baseline
