package settings

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// Settings is the static configuration that an entry host reads at its start. It
// is immutable. The file schema.json has the bounds and the default of each
// field.
type Settings struct {
	// Platform is the base address of the platform's services.
	Platform string
	// Regions lists the regions of the cell. Their order must never change.
	Regions []string
	// PartitionsPerRegion is the number of partitions of each region.
	PartitionsPerRegion int
	// Hosts holds the entry hosts by name.
	Hosts map[string]Host
	// Teams holds the teams by name.
	Teams map[string]Team
	// Operators holds the operators by name.
	Operators map[string]Operator
	Limits    Limits
	Log       Log
	TLS       TLS
}

// Host is one entry host.
type Host struct {
	Region string
	Zone   string
	// Callers, Operators and Peers are the addresses to listen on.
	Callers   string
	Operators string
	Peers     string
	// Advertise is the address that other members connect to; if it is empty,
	// they connect to Peers.
	Advertise string `json:",omitempty"`
}

// PeerAddress returns the address that other members connect to.
func (h Host) PeerAddress() string {
	if h.Advertise != "" {
		return h.Advertise
	}
	return h.Peers
}

// Team is a team whose members submit work.
type Team struct {
	// Token is the bearer token of the team's callers.
	Token string
}

// Operator is a person or program that administers the cell.
type Operator struct {
	// Token is the bearer token of the operator.
	Token string
}

// Limits bounds the requests that an entry host accepts.
type Limits struct {
	// Body is the maximum size of the body of a caller's request.
	Body quantity.Bytes
	// HeaderTimeout and BodyTimeout bound the time to read the header and the
	// body of a request, WriteTimeout the time to write the response, and
	// IdleTimeout the pause between two requests on a connection.
	HeaderTimeout, BodyTimeout, WriteTimeout, IdleTimeout quantity.Duration
	// Wait is the maximum time that a request waits for a final answer.
	Wait quantity.Duration
	// Stop is the maximum time that a graceful stop waits for requests in flight.
	Stop quantity.Duration
	// Memory is the memory that the process may take; 0 is that of the machine.
	Memory quantity.Bytes
	// Descriptors is the number of files and connections that the process may have open; 0 is what
	// the system allows it.
	Descriptors int
	// Connections is the maximum number of open connections of callers. Memory and Descriptors may
	// allow fewer.
	Connections int
	// OpenPerTeam is the maximum number of requests of one team in flight.
	OpenPerTeam int
	// RatePerTeam is the maximum number of requests of one team per second.
	RatePerTeam int
	// OpenCalls is the maximum number of calls in flight of the host's own
	// callers, and PeerCalls that of calls from other entry hosts.
	OpenCalls, PeerCalls int
}

// Log holds the format and the level of the process log.
type Log struct {
	// Form is Text or JSON.
	Form string
	// Level is Error, Warn, Info or Debug.
	Level string
}

// TLS holds the certificate of each listener; nil means plain HTTP.
type TLS struct {
	Callers   *Certificate `json:",omitempty"`
	Operators *Certificate `json:",omitempty"`
	Peers     *Certificate `json:",omitempty"`
}

// Certificate names the files of one certificate. They are reloaded when they
// change.
type Certificate struct {
	Certificate string
	Key         string
	// Authority is the file with the authority that signs the certificates of
	// the other entry hosts; only Peers uses it.
	Authority string `json:",omitempty"`
}

// HasRegion reports whether the cell has a region of that name.
func (s Settings) HasRegion(name string) bool { return slices.Contains(s.Regions, name) }

// WithDefaults returns a copy in which Limits, Log and PartitionsPerRegion have
// their defaults if they are zero, for settings that were not read from files.
func (s Settings) WithDefaults() Settings {
	if s.Limits == (Limits{}) {
		s.Limits = defaults.Limits
	}
	if s.Log == (Log{}) {
		s.Log = defaults.Log
	}
	if s.PartitionsPerRegion == 0 {
		s.PartitionsPerRegion = defaults.PartitionsPerRegion
	}
	return s
}
