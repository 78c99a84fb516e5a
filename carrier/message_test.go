package carrier_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/vanillaquay/vanillaquay/carrier"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

func taskOf(n int) workload.TaskID {
	return workload.TaskID{StepID: workload.StepID{Job: fmt.Sprintf("%016x", n), Step: n % 3}, Index: n}
}

// sampleCalls returns a batch as sent by an owner under load: 5 starts and 5 holds.
func sampleCalls() carrier.Calls {
	calls := carrier.Calls{Fence: 7}
	for i := range 5 {
		worker, address := fmt.Sprintf("batch-%03d", i), fmt.Sprintf("10.0.3.%d:7000", i)
		calls.Calls = append(calls.Calls,
			carrier.Call{Number: 100_000 + uint64(i), Verb: carrier.Start, Address: address, Worker: worker, Task: taskOf(i), Run: 1, Until: 1775216949216, Spec: "image-7 --part 3", Ticket: "0123456789abcdef0123456789abcdef"},
			carrier.Call{Number: 200_000 + uint64(i), Verb: carrier.Hold, Address: address, Worker: worker, Until: 1775216949216, Seen: 1000 + int64(i), Wait: time.Second})
	}
	return calls
}

// sampleAnswers returns the answers to sampleCalls: each list has 4 runs and an end.
func sampleAnswers() carrier.Answers {
	answers := carrier.Answers{Fence: 7}
	for i := range 5 {
		lists := platform.HoldResponse{Clock: 1775216949216, Report: cell.Report{Life: 1775216949216, Complete: true}}
		for n := range 4 {
			lists.Report.Running = append(lists.Report.Running, cell.ActiveRun{Task: taskOf(n), Run: 1, Percent: 40.5, Measure: 12.25})
		}
		lists.Report.Ended = append(lists.Report.Ended, cell.EndedRun{Number: 1000, Task: taskOf(i), Run: 1})
		answers.Answers = append(answers.Answers,
			carrier.Answer{Number: 100_000 + uint64(i), Order: cell.Accepted},
			carrier.Answer{Number: 200_000 + uint64(i), Order: cell.Accepted, Lists: carrier.EncodeLists(lists)})
	}
	return answers
}

// BenchmarkCalls measures the cost to an owner of encoding 10 calls.
func BenchmarkCalls(b *testing.B) {
	calls := sampleCalls()
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		data, err := codec.Marshal(calls)
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "message-B")
}

// BenchmarkAnswers measures the cost to an owner of decoding 10 answers.
func BenchmarkAnswers(b *testing.B) {
	data, err := codec.Marshal(sampleAnswers())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var answers carrier.Answers
		if err := codec.Unmarshal(data, &answers); err != nil {
			b.Fatal(err)
		}
		for _, a := range answers.Answers {
			if a.Lists != nil {
				a.Lists.Decode()
			}
		}
	}
	b.ReportMetric(float64(len(data)), "message-B")
}
