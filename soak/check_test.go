package soak_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/soak"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

const jobID = "0000000000000001"

// origin is the beginning of the observations of these tests.
var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

func post(from, to float64, status int) soak.Call {
	return soak.Call{Method: http.MethodPost, Begun: at(from), Sent: at(from), Ended: at(to), Status: status}
}

func get(from, to float64, status int, state string) soak.Call {
	return soak.Call{Method: http.MethodGet, Begun: at(from), Sent: at(from), Ended: at(to), Status: status, State: state}
}

func cancel(from, to float64) soak.Call { return cancelWith(from, to, http.StatusOK) }

func cancelWith(from, to float64, status int) soak.Call {
	return soak.Call{Method: http.MethodDelete, Begun: at(from), Sent: at(from), Ended: at(to), Status: status}
}

func event(seconds float64, kind workerstandin.RunEventKind, worker, task string, run int, how string) workerstandin.RunEvent {
	return workerstandin.RunEvent{At: at(seconds), Kind: kind, Worker: worker, Task: jobID + task, Run: run, How: how}
}

func began(seconds float64, worker, task string, run int) workerstandin.RunEvent {
	return event(seconds, workerstandin.RunBegan, worker, task, run, "")
}

func ended(seconds float64, worker, task string, run int, how string) workerstandin.RunEvent {
	return event(seconds, workerstandin.RunEnded, worker, task, run, how)
}

func acknowledged(seconds float64, worker, task string, run int, how string) workerstandin.RunEvent {
	return event(seconds, workerstandin.EndNoted, worker, task, run, how)
}

func workerEvent(seconds float64, kind workerstandin.RunEventKind, worker string) workerstandin.RunEvent {
	return workerstandin.RunEvent{At: at(seconds), Kind: kind, Worker: worker}
}

// observation returns the observations of a job of two steps with one task each, the second
// after the first.
func observation(calls []soak.Call, events ...workerstandin.RunEvent) soak.Observations {
	return soak.Observations{
		At: at(100),
		Jobs: []soak.Job{{
			ID: jobID, Closed: true, Calls: calls,
			Steps: []platformstandin.Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}},
		}},
		Events: events,
	}
}

// Each rule is broken by one constructed observation, and kept by similar ones.
func TestCheck(t *testing.T) {
	accepted := []soak.Call{post(0, 0.1, http.StatusOK)}
	withCalls := func(calls ...soak.Call) []soak.Call { return append(accepted[:1:1], calls...) }
	const first, second = ".0.0.0", ".0.1.0"
	fault := func(o soak.Observations, kind soak.Kind, from, to float64) soak.Observations {
		o.Disruptions = append(o.Disruptions, soak.Disruption{Fault: soak.Fault{Kind: kind}, From: at(from), To: at(to)})
		return o
	}
	overCapacity := began(1, "w1", first, 1)
	overCapacity.Over = true
	otherSpec := began(1, "w1", first, 1)
	otherSpec.Spec = "other"
	failures := func(acknowledgeThird bool) []workerstandin.RunEvent {
		var events []workerstandin.RunEvent
		for run := 1; run <= 3; run++ {
			events = append(events, began(float64(run), "w1", first, run), ended(float64(run)+0.5, "w1", first, run, "failed"))
			if run < 3 || acknowledgeThird {
				events = append(events, acknowledged(float64(run)+0.6, "w1", first, run, "failed"))
			}
		}
		return events
	}
	whole := []workerstandin.RunEvent{
		began(1, "w1", first, 1), ended(2, "w1", first, 1, "done"), began(3, "w2", second, 1), ended(4, "w2", second, 1, "done"),
	}
	// brief is a run of the first task that ends soon.
	brief := func(seconds float64) []workerstandin.RunEvent {
		return []workerstandin.RunEvent{began(seconds, "w1", first, 1), ended(seconds+0.2, "w1", first, 1, "stopped")}
	}
	brokenCall := soak.Call{Method: http.MethodGet, Begun: at(10), Sent: at(10), Ended: at(11), Broken: true}
	brokenEarly := brokenCall
	brokenEarly.Ended = at(10.1)
	silent := soak.Call{Method: http.MethodGet, Begun: at(10), Sent: at(10), Ended: at(14)}
	route := func(call soak.Call, removed time.Time) soak.Observations {
		return soak.Observations{Routes: []soak.Route{{Queue: "extra1", Added: at(10), Removed: removed, Calls: []soak.Call{call}}}}
	}
	// keyed has a key of the first version that is withdrawn at 20 s, and one that is added then.
	keyed := func(o soak.Observations, key string) soak.Observations {
		o.Keys = []soak.Key{{Value: "k1", Organisation: "a", Withdrawn: at(20)}, {Value: "k2", Organisation: "a", Added: at(20)}}
		for i := range o.Jobs[0].Calls {
			o.Jobs[0].Calls[i].Key = key
		}
		return o
	}
	// limited has a limit of one processor from a time on; the first step uses 0.6.
	limited := func(from float64, events ...workerstandin.RunEvent) soak.Observations {
		o := observation(accepted, events...)
		o.Jobs[0].Organisation, o.Jobs[0].Steps[0].Processors = "a", 600
		o.Limits = []soak.Limit{{Organisation: "a", Processors: 1000, From: at(from)}}
		return o
	}
	for _, test := range []struct {
		name     string
		observed soak.Observations
		// rule is the name of the only broken rule, or empty.
		rule string
	}{
		{"whole job", observation(withCalls(get(5, 5.1, 200, "done")), whole...), ""},
		{"two runs at once", observation(accepted, began(1, "w1", first, 1), began(2, "w2", first, 2)), "TWICE"},
		{"second run after a lapse", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "lapsed"), began(3, "w2", first, 2)), ""},
		{"second run after the worker has gone", observation(accepted, began(1, "w1", first, 1), event(2, workerstandin.RunGone, "w1", first, 1, ""), began(3, "w2", first, 2)), ""},
		{"start after an acknowledged end", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "done"), acknowledged(2.1, "w1", first, 1, "done"), began(3, "w2", first, 2)), "TWICE"},
		{"start after an end that is acknowledged later", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "done"), began(3, "w2", first, 2), acknowledged(3.1, "w1", first, 1, "done")), "TWICE"},
		{"start after an end that is never acknowledged", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "done"), began(3, "w2", first, 2)), ""},
		{"start after an end acknowledged after a lapse", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "done"), workerEvent(2.5, workerstandin.LeaseLapsed, "w1"), acknowledged(2.6, "w1", first, 1, "done"), began(3, "w2", first, 2)), ""},
		{"over the capacity", observation(accepted, overCapacity), "LIMIT"},
		{"out of order", observation(accepted, began(1, "w1", second, 1)), "ORDER"},
		{"before the previous step has ended as done", observation(accepted, began(1, "w1", first, 1), ended(2, "w1", first, 1, "stopped"), began(3, "w1", second, 1)), "ORDER"},
		{"fourth run", observation(accepted, append(failures(true), began(5, "w1", first, 4))...), "BUDGET"},
		{"fourth run, the third end never acknowledged", observation(accepted, append(failures(false), began(5, "w1", first, 4))...), ""},
		{"job that nobody submitted", observation(accepted, workerstandin.RunEvent{At: at(1), Kind: workerstandin.RunBegan, Task: "0000000000000002.0.0.0"}), "UNASKED"},
		{"another specification", observation(accepted, otherSpec), "UNASKED"},
		{"rejected and started", observation([]soak.Call{post(0, 0.1, 503), post(1, 1.1, 429)}, began(2, "w1", first, 1)), "REFUSED"},
		{"rejected after a call without a response", fault(observation([]soak.Call{post(0, 0.1, 0), post(9, 9.1, 503)}, began(2, "w1", first, 1)), soak.Kill, 0, 0.2), ""},
		{"start after the cancellation", observation(withCalls(cancel(1, 1.1)), brief(4.5)...), "UNASKED"},
		{"start after the cancellation beside a fault", fault(observation(withCalls(cancel(1, 1.1)), brief(4.5)...), soak.Kill, 2, 3), ""},
		{"start after the cancellation beside a change", fault(observation(withCalls(cancel(1, 1.1)), brief(4.5)...), soak.ChangeCatalogue, 2, 3), "UNASKED"},
		{"start after a cancellation beside a fault that ended long before the start", fault(observation(withCalls(cancel(1, 1.1)), brief(8)...), soak.Kill, 0.5, 3), "UNASKED"},
		{"start after a cancellation acknowledged with 410", observation(withCalls(cancelWith(1, 1.1, 410)), brief(4.5)...), "UNASKED"},
		{"start after a cancellation acknowledged with 202", observation(withCalls(cancelWith(1, 1.1, 202)), brief(4.5)...), "UNASKED"},
		{"start after a cancellation that was rejected", observation(withCalls(cancelWith(1, 1.1, 503)), brief(4.5)...), ""},
		{"start soon after a cancellation acknowledged with 410", observation(withCalls(cancelWith(1, 1.1, 410)), brief(4)...), ""},
		{"start of a job accepted after its cancellation", observation([]soak.Call{cancelWith(0, 0.1, 410), post(1, 1.1, 200)}, brief(3.5)...), "UNASKED"},
		{"start of a job whose submission had no answer after its cancellation", observation([]soak.Call{cancelWith(0, 0.1, 410), post(0, 3, 504)}, brief(3.5)...), "UNASKED"},
		{"continues to run after a cancellation acknowledged with 410", observation(withCalls(cancelWith(1, 1.1, 410)), began(0.5, "w1", first, 1), ended(5.5, "w1", first, 1, "done")), "UNASKED"},
		{"runs on until now after the cancellation", observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1)), "UNASKED"},
		{"ends soon after the cancellation", observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(4.5, "w1", first, 1, "stopped")), ""},
		{"runs on through a calm stretch after a fault", fault(observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(11.5, "w1", first, 1, "done")), soak.Pause, 0.8, 3), "UNASKED"},
		{"runs on beside a fault and ends before a calm stretch", fault(observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(10.5, "w1", first, 1, "done")), soak.Pause, 0.8, 3), ""},
		{"runs on beside faults without a calm stretch between them", fault(fault(observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(17, "w1", first, 1, "done")), soak.Pause, 0.8, 3), soak.Kill, 10, 14), ""},
		{"runs on through a calm stretch between two faults", fault(fault(observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(17, "w1", first, 1, "done")), soak.Pause, 0.8, 3), soak.Kill, 11.5, 14), "UNASKED"},
		{"continues to run after the cancellation", observation(withCalls(cancel(1, 1.1)), began(0.5, "w1", first, 1), ended(5.5, "w1", first, 1, "stopped")), "UNASKED"},
		{"start on a draining worker", fault(observation(accepted, began(5, "w0", first, 1)), soak.DrainWorker, 2, 9), "DRAIN"},
		{"start on the next life of a drained worker", fault(observation(accepted, workerEvent(3, workerstandin.LifeEnded, "w0"), began(5, "w0", first, 1)), soak.DrainWorker, 2, 9), ""},
		{"start on another worker", fault(observation(accepted, began(5, "w1", first, 1)), soak.DrainWorker, 2, 9), ""},
		{"start soon after a worker began to drain", fault(observation(accepted, began(4, "w0", first, 1)), soak.DrainWorker, 2, 9), ""},
		{"reported as done too early", observation(withCalls(get(3, 3.1, 200, "done")), whole...), "MIXED"},
		{"reported as failed without cause", observation(withCalls(get(3, 3.1, 200, "failed")), whole...), "LOST"},
		{"reported as failed", observation(withCalls(get(5, 5.1, 200, "failed")), failures(true)...), ""},
		{"reported as cancelled without cause", observation(withCalls(get(3, 3.1, 200, "cancelled"))), "LOST"},
		{"not known", observation(withCalls(get(5, 5.1, 410, ""))), "LOST"},
		{"not known beside a fault", fault(observation(withCalls(get(5, 5.1, 410, ""))), soak.Pause, 1.5, 2), ""},
		{"connection failed", observation(withCalls(brokenCall)), "LOST"},
		{"connection failed as it was used", observation(withCalls(brokenEarly)), ""},
		{"connection failed beside planned work", fault(observation(withCalls(brokenCall)), soak.Terminate, 9, 12), "LOST"},
		{"connection failed beside a fault", fault(observation(withCalls(brokenCall)), soak.Kill, 9, 12), ""},
		{"no answer", observation(withCalls(silent)), "Deadline"},
		{"no answer beside a fault", fault(observation(withCalls(silent)), soak.CutHosts, 9, 9.5), ""},
		{"added queue is not there", route(get(13, 13.1, 404, ""), time.Time{}), "CONFIG"},
		{"added queue is not there yet", route(get(12, 12.1, 404, ""), time.Time{}), ""},
		{"removed queue is there", route(get(33, 33.1, 200, ""), at(30)), "CONFIG"},
		{"removed queue is there still", route(get(32, 32.1, 200, ""), at(30)), ""},
		{"valid key", keyed(observation([]soak.Call{post(5, 5.1, 200)}), "k1"), ""},
		{"valid key is refused", fault(keyed(observation([]soak.Call{post(5, 5.1, 401)}), "k1"), soak.Kill, 4, 6), "KEY"},
		{"added key is refused", keyed(observation([]soak.Call{get(23, 23.1, 401, "")}), "k2"), "KEY"},
		{"added key is refused at first", keyed(observation([]soak.Call{get(22, 22.1, 401, "")}), "k2"), ""},
		{"added key is refused beside a fault", fault(keyed(observation([]soak.Call{get(23, 23.1, 401, "")}), "k2"), soak.CutStore, 15, 17), ""},
		{"withdrawn key is refused", keyed(observation([]soak.Call{post(23, 23.1, 401)}), "k1"), ""},
		{"withdrawn key is not refused", keyed(observation([]soak.Call{cancel(23, 23.1)}), "k1"), "KEY"},
		{"withdrawn key is not refused at first", keyed(observation([]soak.Call{cancel(22, 22.1)}), "k1"), ""},
		{"unknown key is not refused", fault(keyed(observation([]soak.Call{get(5, 5.1, 410, "")}), "unknown-1"), soak.CutStore, 4, 6), "KEY"},
		{"unknown key without a response, and started", fault(keyed(observation([]soak.Call{post(5, 5.1, 0)}, began(6, "w1", first, 1)), "unknown-1"), soak.Kill, 4, 6), "REFUSED"},
		{"refused key, and started", keyed(observation([]soak.Call{post(30, 30.1, 401)}, began(31, "w1", first, 1)), "k1"), "REFUSED"},
		{"keys are not checked", observation([]soak.Call{get(5, 5.1, 410, "")}), ""},
		{"public queue needs a key", route(get(13, 13.1, 401, ""), time.Time{}), "KEY"},
		{"beyond the limit", limited(5, began(20, "w1", first, 1), began(21, "w2", ".0.0.1", 1)), "QUOTA"},
		{"beyond a limit of which the owner may not know", limited(15, began(20, "w1", first, 1), began(21, "w2", ".0.0.1", 1)), ""},
		{"within the limit", limited(5, began(20, "w1", first, 1), ended(20.5, "w1", first, 1, "stopped"), began(21, "w2", ".0.0.1", 1)), ""},
		{"crash", soak.Observations{Crashes: []soak.Crash{{At: at(1), Host: "h1"}}}, "Own ends"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var rules []string
			for _, v := range soak.Check(test.observed) {
				rules = append(rules, v.Rule)
			}
			var want []string
			if test.rule != "" {
				want = []string{test.rule}
			}
			qt.Assert(t, rules, qt.DeepEquals, want)
		})
	}
}
