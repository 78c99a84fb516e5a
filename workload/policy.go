package workload

import (
	"math"
	"time"
	"unsafe"

	"github.com/juju/errors"
)

// Policy is what of a queue decides how its jobs run. A job keeps the one under which it was
// accepted, so that it runs to its end after the operator has removed the queue. The zero value is
// no policy.
type Policy struct {
	// Version is the version of the catalogue from which the policy was taken; 0 is none.
	Version int64 `cbor:"1,keyasint,omitempty"`
	// Host and Prefix are those of the queue when it accepted the job.
	Host   string `cbor:"2,keyasint,omitempty"`
	Prefix string `cbor:"3,keyasint,omitempty"`
	// Service, Priority and Advice are the placement, which the operator may change for accepted
	// jobs. See Queue.
	Service  string  `cbor:"4,keyasint,omitempty"`
	Priority int     `cbor:"5,keyasint,omitempty"`
	Advice   *Advice `cbor:"6,keyasint,omitempty"`
	// MaxAttempts, Stretch and Allowance hold for a job from its acceptance to its end. See Queue.
	MaxAttempts int           `cbor:"7,keyasint,omitempty"`
	Stretch     float64       `cbor:"8,keyasint,omitempty"`
	Allowance   time.Duration `cbor:"9,keyasint,omitempty"`
}

// Policy returns the policy of a queue in a version of the catalogue.
func (q Queue) Policy(version int64) Policy {
	return Policy{
		Version: version, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority, Advice: q.Advice,
		MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Allowance: q.Allowance,
	}
}

// Queue returns a queue that has the policy.
func (p Policy) Queue(name string) Queue {
	return Queue{
		Name: name, Host: p.Host, Prefix: p.Prefix, Service: p.Service, Priority: p.Priority, Advice: p.Advice,
		MaxAttempts: p.MaxAttempts, Stretch: p.Stretch, Allowance: p.Allowance,
	}
}

// IsZero reports whether there is no policy.
func (p Policy) IsZero() bool { return p.Version == 0 }

// WithPlacement returns the policy with the placement and the version of another one.
func (p Policy) WithPlacement(of Policy) Policy {
	p.Version, p.Service, p.Priority, p.Advice = of.Version, of.Service, of.Priority, of.Advice
	return p
}

// HasPlacementOf reports whether both policies have the same placement.
func (p Policy) HasPlacementOf(other Policy) bool {
	return p.Service == other.Service && p.Priority == other.Priority && p.Advice.equal(other.Advice)
}

// EqualTerms reports whether two policies differ in their versions at most.
func (p Policy) EqualTerms(other Policy) bool {
	return p.HasPlacementOf(other) && p.Host == other.Host && p.Prefix == other.Prefix &&
		p.MaxAttempts == other.MaxAttempts && p.Stretch == other.Stretch && p.Allowance == other.Allowance
}

// Accepts reports whether a queue has the host and the prefix at which jobs with the policy were
// accepted.
func (p Policy) Accepts(q Queue) bool {
	return !p.IsZero() && p.Host == q.Host && p.Prefix == q.Prefix
}

// Bytes returns roughly how much memory the policy takes beside its struct.
func (p Policy) Bytes() int {
	size := len(p.Host) + len(p.Prefix) + len(p.Service)
	if p.Advice != nil {
		size += int(unsafe.Sizeof(*p.Advice))
	}
	return size
}

func (p Policy) validate() error {
	if p.Version < 0 || p.MaxAttempts < 0 || p.Allowance < 0 {
		return errors.NotValidf("policy with negative numbers")
	}
	if p.Stretch < 0 || math.IsNaN(p.Stretch) || math.IsInf(p.Stretch, 1) {
		return errors.NotValidf("policy with stretch %g", p.Stretch)
	}
	if a := p.Advice; a != nil && (a.BaseDuration < 0 || a.PerWorkerDuration < 0 || a.TicketLifetime < 0) {
		return errors.NotValidf("policy with advice of negative durations")
	}
	return nil
}

func (a *Advice) equal(other *Advice) bool {
	return a == other || a != nil && other != nil && *a == *other
}
