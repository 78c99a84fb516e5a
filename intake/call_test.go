package intake_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

const jobID = "5c0e7a21d94b36f8"

// submission returns the call that submits a job with the given steps.
func submission(steps ...workload.Step) intake.Call {
	job := workload.Job{ID: jobID, Queue: "q", Steps: steps}
	return intake.Call{Number: 1, Verb: intake.Submit, Queue: "q", ID: jobID, Job: job}
}

// Decoding must reject a call with an invalid job: a forwarded job in which a step depends
// on a step that the job lacks would end the owner's process.
func TestCallWithMalformedJobIsRejected(t *testing.T) {
	other := submission(workload.Step{TaskCount: 1})
	other.ID = "0000000000000000"
	elsewhere := submission(workload.Step{TaskCount: 1})
	elsewhere.Queue = "r"
	badPolicy := submission(workload.Step{TaskCount: 1})
	badPolicy.Job.Policy = workload.Policy{Version: 1, Stretch: math.NaN()}
	for _, test := range []struct {
		call  intake.Call
		fault string
	}{
		{submission(workload.Step{TaskCount: 1, After: []int{7}}), ".*dependency on step 7.*"},
		{submission(workload.Step{TaskCount: 1, After: []int{0}}), ".*dependency on step 0.*"},
		{submission(workload.Step{TaskCount: -1}), ".*number of tasks -1.*"},
		{submission(), ".*job of 0 steps.*"},
		{other, `.*job "5c0e7a21d94b36f8" of queue "q" in a call for "0000000000000000" of "q".*`},
		{badPolicy, ".*policy with stretch NaN.*"},
		{elsewhere, `.*in a call for "5c0e7a21d94b36f8" of "r".*`},
	} {
		data, err := codec.Marshal(test.call)
		qt.Assert(t, err, qt.IsNil)
		var read intake.Call
		qt.Check(t, codec.Unmarshal(data, &read), qt.ErrorMatches, test.fault)
	}
}

// While hosts are upgraded, owners and hosts of both versions must read each other's calls. Those
// without keys have the fields 1 to 5.
func TestCallsOfEarlierVersion(t *testing.T) {
	c := qt.New(t)
	call := submission(workload.Step{TaskCount: 1})
	call.Credential = intake.Credential{Key: "k", CatalogueVersion: 7, KeyNotNeeded: true}
	data, err := codec.Marshal(call)
	c.Assert(err, qt.IsNil)
	var earlier struct {
		Number uint64    `cbor:"1,keyasint"`
		Verb   string    `cbor:"2,keyasint"`
		Queue  string    `cbor:"3,keyasint"`
		ID     string    `cbor:"4,keyasint"`
		Job    codec.Raw `cbor:"5,keyasint"`
	}
	c.Assert(codec.Unmarshal(data, &earlier), qt.IsNil)
	data, err = codec.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	var read intake.Call
	c.Assert(codec.Unmarshal(data, &read), qt.IsNil)
	call.Credential = intake.Credential{}
	c.Assert(read, qt.DeepEquals, call)
}

// FuzzMessages decodes arbitrary bytes as each kind of message. A decoded message must
// survive another round of encoding and decoding, and a forwarder must ignore the answer to
// a call that it does not have.
func FuzzMessages(f *testing.F) {
	for _, value := range []any{
		submission(workload.Step{TaskCount: 2}, workload.Step{TaskCount: 1, After: []int{0}, Estimate: time.Second}),
		submission(workload.Step{TaskCount: 1, After: []int{-1}}),
		intake.Call{Number: 2, Verb: intake.Waiting, Queue: "q"},
		intake.Call{Verb: "Odd", ID: "\xff"},
		intake.Call{Verb: intake.State, Queue: "q", ID: jobID, Credential: intake.Credential{Key: "k", CatalogueVersion: -1}},
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
			checkRoundTrip(t, c, new(intake.Call))
			if c.Verb == intake.Submit && c.Job.Validate() != nil {
				t.Fatalf("an invalid job was read: %+v", c.Job)
			}
		}
		var a intake.Answer
		if codec.Unmarshal(data, &a) == nil {
			checkRoundTrip(t, a, new(intake.Answer))
			newForwarder(newFakeSender()).HandleAnswer(a)
		}
	})
}

// checkRoundTrip checks that a value has the same encoding once it was encoded and decoded.
func checkRoundTrip[T any](t *testing.T, value T, decoded *T) {
	t.Helper()
	encoded, err := codec.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := codec.Unmarshal(encoded, decoded); err != nil {
		t.Fatalf("%+v: %v", value, err)
	}
	if reencoded, err := codec.Marshal(*decoded); err != nil || !bytes.Equal(encoded, reencoded) {
		t.Fatalf("%+v read back as %+v, %v", value, *decoded, err)
	}
}
