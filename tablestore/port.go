package tablestore

import (
	"context"

	"github.com/juju/errors"
)

// Errors of the platform's services.
const (
	// ErrConflict tells that a conditional write found another version; the
	// write had no effect.
	ErrConflict = errors.ConstError("row has another version")
	// ErrUnknown tells that a write may or may not have taken effect.
	ErrUnknown = errors.ConstError("outcome of the write is not known")
	// ErrUnavailable tells that the service gave no answer; nothing was
	// written.
	ErrUnavailable = errors.ConstError("platform service is unavailable")
)

// Version identifies one content of a row. Zero stands for an absent row.
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
	// Put writes value if the row has the expected version and returns the
	// new one. It fails with ErrConflict, ErrUnknown or ErrUnavailable.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the row if it has the expected version.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns up to limit rows whose keys begin with prefix and come
	// after the given key, in order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
type Objects interface {
	// Read returns an object, or an error that satisfies errors.NotFound.
	Read(ctx context.Context, key string) ([]byte, error)
	// Write replaces an object.
	Write(ctx context.Context, key string, data []byte) error
	// Remove deletes an object; an absent one is no error.
	Remove(ctx context.Context, key string) error
}

// HostState tells whether a worker is to receive work.
type HostState string

// The states in the list of hosts.
const (
	// Live is a worker that takes work.
	Live HostState = "Live"
	// Leaving is a worker that must receive nothing new.
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

// Hosts is the platform's list of workers, which lags behind the truth.
type Hosts interface {
	// Workers returns the list as the platform last saw it.
	Workers(ctx context.Context) ([]Host, error)
}
