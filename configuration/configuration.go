package configuration

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// Key is the key of the configuration row in the platform's table.
const Key = "configuration"

// Limits of a configuration.
const (
	// MaxSize is the largest size of a configuration, in bytes of JSON.
	MaxSize = 1 << 20
	// MaxTeams is the largest number of teams.
	MaxTeams = 5_000
	// MaxWeight is the largest weight of a team.
	MaxWeight = 1_000_000
	// MaxShards is the largest number of partitions of one team.
	MaxShards = 1_024
	// maxChanges is the number of latest changes that the row retains.
	maxChanges = 32
)

// Configuration is the content of the configuration row. It is immutable.
type Configuration struct {
	// Version counts the accepted changes; 0 is the empty configuration.
	Version uint64
	// Teams holds the configuration of each team, by name.
	Teams map[string]Team `json:",omitempty"`
	// Drained lists the workers that accept no new work.
	Drained []string `json:",omitempty"`
	// DrainedHosts lists the entry hosts that hand over the partitions and
	// racks they own.
	DrainedHosts []string `json:",omitempty"`
	// Changes lists the latest accepted changes, oldest first. The last one
	// has the version of the configuration.
	Changes []Change `json:",omitempty"`
}

// Team is the configuration of one team.
type Team struct {
	// Quota limits the total size of the team's running tasks; a zero field
	// means no limit.
	Quota quantity.Size `json:",omitzero"`
	// Weight scales the team's fair share; 0 counts as 1.
	Weight int `json:",omitempty"`
	// Home is the region that holds the team's work. If it is empty, a hash of
	// the team's name selects the region.
	Home string `json:",omitempty"`
	// Shards is the number of partitions that hold the team's work, each with an
	// equal part of the quota. Work that is larger than such a part is rejected.
	// 0 counts as 1.
	Shards int `json:",omitempty"`
}

// Change is one accepted change.
type Change struct {
	// ID is unique to the write, so that a write whose response was lost can
	// be recognised in the row.
	ID       string
	Version  uint64
	Operator string
	At       time.Time
}

// Parse decodes and checks a configuration that an operator sent. Unknown
// fields are an error.
func Parse(data []byte) (Configuration, error) {
	if len(data) > MaxSize {
		return Configuration{}, errors.NotValidf("configuration of %d bytes (want at most %d)", len(data), MaxSize)
	}
	var c Configuration
	if err := quantity.DecodeStrict(data, &c); err != nil {
		return Configuration{}, errors.Annotate(err, "configuration")
	}
	return c, c.Check()
}

// Decode decodes and checks the value of the row. It ignores unknown fields,
// which a later release may have written, so that hosts can be upgraded one
// after another.
func Decode(data []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(data, &c); err != nil {
		return Configuration{}, errors.Annotate(err, "configuration")
	}
	return c, c.Check()
}

// Check returns an error that names the first invalid field, or nil.
func (c Configuration) Check() error {
	if len(c.Teams) > MaxTeams {
		return errors.NotValidf("Teams with %d entries (want at most %d)", len(c.Teams), MaxTeams)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		if err := c.Teams[name].check(); err != nil {
			return errors.Annotatef(err, "Teams.%s", name)
		}
	}
	if err := checkNames("Drained", c.Drained); err != nil {
		return err
	}
	return checkNames("DrainedHosts", c.DrainedHosts)
}

func (t Team) check() error {
	if t.Weight < 0 || t.Weight > MaxWeight {
		return errors.NotValidf("Weight %d (want 0 to %d)", t.Weight, MaxWeight)
	}
	if t.Shards < 0 || t.Shards > MaxShards {
		return errors.NotValidf("Shards %d (want 0 to %d)", t.Shards, MaxShards)
	}
	return nil
}

// checkNames returns an error if a name is empty or occurs twice.
func checkNames(field string, names []string) error {
	seen := map[string]bool{}
	for _, name := range names {
		if name == "" || seen[name] {
			return errors.NotValidf("%s with %q (want names, each once)", field, name)
		}
		seen[name] = true
	}
	return nil
}

// WithTeam returns a copy in which the named team has the configuration t; the
// zero value removes the team.
func (c Configuration) WithTeam(name string, t Team) Configuration {
	c.Teams = maps.Clone(c.Teams)
	if t == (Team{}) {
		delete(c.Teams, name)
		return c
	}
	if c.Teams == nil {
		c.Teams = map[string]Team{}
	}
	c.Teams[name] = t
	return c
}

// WithDrained returns a copy in which a worker is drained or is no longer
// drained.
func (c Configuration) WithDrained(worker string, drained bool) Configuration {
	c.Drained = withName(c.Drained, worker, drained)
	return c
}

// WithDrainedHost returns a copy in which an entry host is drained or is no
// longer drained.
func (c Configuration) WithDrainedHost(host string, drained bool) Configuration {
	c.DrainedHosts = withName(c.DrainedHosts, host, drained)
	return c
}

// WithVersion returns a copy with another version.
func (c Configuration) WithVersion(version uint64) Configuration {
	c.Version = version
	return c
}

// withChange returns a copy with the version of a change, which is appended to
// the list of changes. At most maxChanges changes are retained.
func (c Configuration) withChange(h Change) Configuration {
	c.Version = h.Version
	c.Changes = append(slices.Clone(c.Changes), h)
	if extra := len(c.Changes) - maxChanges; extra > 0 {
		c.Changes = c.Changes[extra:]
	}
	return c
}

// changeByID returns the accepted change with the given ID and reports whether
// it is listed.
func (c Configuration) changeByID(id string) (Change, bool) {
	i := slices.IndexFunc(c.Changes, func(h Change) bool { return h.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return c.Changes[i], true
}

// withName returns a sorted copy of names that contains name only if present
// is set.
func withName(names []string, name string, present bool) []string {
	names = slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
	if present {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
