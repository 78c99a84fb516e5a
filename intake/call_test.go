package intake_test

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

const jobID = "5c0e7a21d94b36f8"

// submission returns the call that hands a job of some steps in.
func submission(steps ...workload.Step) intake.Call {
	job := workload.Job{ID: jobID, Queue: "q", Steps: steps}
	return intake.Call{Number: 1, Verb: intake.Submit, Queue: "q", ID: jobID, Job: job}
}

// A job that another host passed on ended the owner's process if a step came after one that
// the job lacks.
func TestCallWithAMalformedJobIsNotRead(t *testing.T) {
	other := submission(workload.Step{TaskCount: 1})
	other.ID = "0000000000000000"
	elsewhere := submission(workload.Step{TaskCount: 1})
	elsewhere.Queue = "r"
	for _, test := range []struct {
		call  intake.Call
		fault string
	}{
		{submission(workload.Step{TaskCount: 1, After: []int{7}}), ".*dependency on step 7.*"},
		{submission(workload.Step{TaskCount: 1, After: []int{0}}), ".*dependency on step 0.*"},
		{submission(workload.Step{TaskCount: -1}), ".*number of tasks -1.*"},
		{submission(), ".*job of 0 steps.*"},
		{other, `.*job "5c0e7a21d94b36f8" of queue "q" in a call for "0000000000000000" of "q".*`},
		{elsewhere, `.*in a call for "5c0e7a21d94b36f8" of "r".*`},
	} {
		data, err := codec.Marshal(test.call)
		qt.Assert(t, err, qt.IsNil)
		var read intake.Call
		qt.Check(t, codec.Unmarshal(data, &read), qt.ErrorMatches, test.fault)
	}
}

// FuzzMessages reads bytes as each message. What is read reads back alike once it is
// written, and a desk that has no such call is not disturbed.
func FuzzMessages(f *testing.F) {
	for _, value := range []any{
		submission(workload.Step{TaskCount: 2}, workload.Step{TaskCount: 1, After: []int{0}, Estimate: time.Second}),
		submission(workload.Step{TaskCount: 1, After: []int{-1}}),
		intake.Call{Number: 2, Verb: intake.Waiting, Queue: "q"},
		intake.Call{Verb: "Odd", ID: "\xff"},
		intake.Answer{Number: 1, Reply: intake.Reply{Outcome: intake.Reported, State: workload.Done}},
		intake.Answer{NotOwner: true, Reply: intake.Reply{Outcome: "Odd", RetryAfter: -1, Waiting: -1}},
	} {
		data, err := codec.Marshal(value)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var c intake.Call
		if codec.Unmarshal(data, &c) == nil {
			readsBack(t, c, new(intake.Call))
			if c.Verb == intake.Submit && c.Job.Validate() != nil {
				t.Fatalf("an invalid job was read: %+v", c.Job)
			}
		}
		var a intake.Answer
		if codec.Unmarshal(data, &a) == nil {
			readsBack(t, a, new(intake.Answer))
			newDesk(newSender()).HandleAnswer(a)
		}
	})
}

// readsBack checks that a value is written as it is read.
func readsBack[T any](t *testing.T, value T, again *T) {
	t.Helper()
	first, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Unmarshal(first, again); err != nil {
		t.Fatalf("%+v: %v", value, err)
	}
	if second, err := codec.Marshal(*again); err != nil || !bytes.Equal(first, second) {
		t.Fatalf("%+v read back as %+v, %v", value, *again, err)
	}
}
