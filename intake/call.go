package intake

import (
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Verb is the operation that a caller requests.
type Verb string

// The verbs.
const (
	Submit  Verb = "Submit"
	State   Verb = "State"
	Cancel  Verb = "Cancel"
	Waiting Verb = "Waiting"
)

// Credential is the key of a caller, and what its host has checked of it.
type Credential struct {
	// Key is "" if the caller has none.
	Key string `cbor:"6,keyasint,omitempty"`
	// CatalogueVersion is the version of the catalogue that admitted the call; 0 is a host that
	// checks no keys, as its program is of an earlier version.
	CatalogueVersion int64 `cbor:"7,keyasint,omitempty"`
	// KeyNotNeeded reports whether that version admits calls for the queue without a key.
	KeyNotNeeded bool `cbor:"8,keyasint,omitempty"`
}

// Call is a call as it is sent to the owner of the cell.
type Call struct {
	// Number identifies the call at its sender.
	Number uint64 `cbor:"1,keyasint"`
	Verb   Verb   `cbor:"2,keyasint"`
	Queue  string `cbor:"3,keyasint,omitempty"`
	ID     string `cbor:"4,keyasint,omitempty"`
	// Job is the job of a Submit. It has the same queue and ID as the call, and is valid in
	// a call decoded from another host.
	Job workload.Job `cbor:"5,keyasint,omitempty"`
	Credential
}

// UnmarshalCBOR implements cbor.Unmarshaler. It rejects an invalid job, as the owner relies
// on valid ones.
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
