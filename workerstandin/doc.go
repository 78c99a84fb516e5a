// Package workerstandin is a small stand-in for the agent of a worker, for
// tests and the demo. It runs no program: a task ends after its declared run
// time and returns its payload. The agent counts the starts that it accepts and
// records whether an owner has exceeded the worker's capacity.
//
// A payload that is a JSON object with the field Standin overrides the declared
// behaviour:
//
//	{"Standin": {"RunTime": "3s", "Used": {"Processors": 2500}, "Outcome": "Broke"}}
//
// RunTime is the actual run time, Used the actual usage and Outcome the outcome.
// Without RunTime a task runs for its declared run time, without Used it uses its
// declared size, and without Outcome it succeeds. If Sign is true, the answer ends
// with the names of the worker and the attempt that produced it.
//
// While tasks run, the agent reports their usage at an interval, as sampled one
// interval earlier. A throttled task is limited to its declared processors, and its
// run time grows in the same proportion. A checkpoint ends an attempt and saves its
// progress; the next attempt of the task, on any agent that shares the checkpoints,
// runs only the remainder.
package workerstandin
