package intake

import (
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Verb is what a caller wants.
type Verb string

// The verbs.
const (
	Submit  Verb = "Submit"
	State   Verb = "State"
	Cancel  Verb = "Cancel"
	Waiting Verb = "Waiting"
)

// Call is a call on its way to the owner of the cell.
type Call struct {
	// Number identifies the call at its sender.
	Number uint64 `cbor:"1,keyasint"`
	Verb   Verb   `cbor:"2,keyasint"`
	Queue  string `cbor:"3,keyasint,omitempty"`
	ID     string `cbor:"4,keyasint,omitempty"`
	// Job is that of a Submit, which has the same queue and ID and is valid once the call
	// was read from another host.
	Job workload.Job `cbor:"5,keyasint,omitempty"`
}

// UnmarshalCBOR implements cbor.Unmarshaler. It takes no job that isn't valid: the owner
// counts on it.
func (c *Call) UnmarshalCBOR(data []byte) error {
	type plain Call
	var p plain
	if err := codec.Unmarshal(data, &p); err != nil {
		return err
	}
	if p.Verb == Submit {
		if p.Job.ID != p.ID || p.Job.Queue != p.Queue {
			return errors.NotValidf("job %q of queue %q in a call for %q of %q", p.Job.ID, p.Job.Queue, p.ID, p.Queue)
		}
		if err := p.Job.Validate(); err != nil {
			return errors.Annotatef(err, "job %q", p.Job.ID)
		}
	}
	*c = Call(p)
	return nil
}
