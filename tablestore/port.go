package tablestore

import (
	"context"

	"github.com/juju/errors"
)

// Errors of the platform's services.
const (
	// ErrConflict reports that a conditional write found another version; the
	// write had no effect.
	ErrConflict = errors.ConstError("row has another version")
	// ErrUnknown reports that a write may or may not have taken effect.
	ErrUnknown = errors.ConstError("outcome of the write is not known")
	// ErrUnavailable reports that the service could not serve the call. A write
	// that fails with it certainly had no effect.
	ErrUnavailable = errors.ConstError("platform service is unavailable")
)

// Version identifies one revision of a row. Zero stands for an absent row.
type Version uint64

// Row is one row of the table.
type Row struct {
	Key     string
	Version Version
	Value   []byte
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row; an absent row has version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Put writes value if the row has the expected version, and returns the new
	// version. It fails with ErrConflict, ErrUnknown or ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the row if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns up to limit rows whose keys begin with prefix and sort after
	// the given key, in the order of keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Read returns an object, or an error that satisfies errors.NotFound.
	Read(ctx context.Context, key string) ([]byte, error)
	// Write replaces an object.
	Write(ctx context.Context, key string, data []byte) error
	// Remove deletes an object; it is not an error if the object is absent.
	Remove(ctx context.Context, key string) error
}

// HostState is a worker's state in the platform's list of workers.
type HostState string

// The states in the list of workers.
const (
	// Live is the state of a worker that may receive work.
	Live HostState = "Live"
	// Leaving is the state of a worker that must receive no new work.
	Leaving HostState = "Leaving"
)

// Host is one entry of the platform's list of workers.
type Host struct {
	ID      string    `json:"ID"`
	Rack    string    `json:"Rack"`
	Zone    string    `json:"Zone"`
	Region  string    `json:"Region"`
	Address string    `json:"Address"`
	State   HostState `json:"State"`
}

// Hosts is the platform's list of workers, which may be out of date.
type Hosts interface {
	// Workers returns the platform's latest version of the list.
	Workers(ctx context.Context) ([]Host, error)
}
