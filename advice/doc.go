// Package advice dispatches questions to the hosts that query the advice service. The
// service handles one question per host at a time, and some take a second. Long questions
// therefore go to a subset of the hosts, and the rest stay free for short ones. The package
// does no I/O and reads no clock.
package advice
