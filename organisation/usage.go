package organisation

import (
	"maps"
	"slices"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Usage is what may be running for each organisation, and the limit of each. Work without an
// organisation, which has the name "", is neither counted nor limited. The zero value has no
// limits.
type Usage struct {
	// limits holds the organisations with a limit.
	limits map[string]task.Size
	// used holds the organisations with work.
	used map[string]task.Size
}

// SetLimits replaces all limits. Work that exceeds a new limit remains counted.
func (u *Usage) SetLimits(organisations []workload.Organisation) {
	u.limits = map[string]task.Size{}
	for _, o := range organisations {
		if o.Name != "" && !o.Limit.IsZero() {
			u.limits[o.Name] = o.Limit
		}
	}
}

// Add counts work that may be running.
func (u *Usage) Add(name string, size task.Size) { u.set(name, u.used[name].Plus(size)) }

// Remove uncounts work that has ended.
func (u *Usage) Remove(name string, size task.Size) { u.set(name, u.used[name].Minus(size)) }

func (u *Usage) set(name string, used task.Size) {
	if name == "" {
		return
	}
	if u.used == nil {
		u.used = map[string]task.Size{}
	}
	u.used[name] = used
	if used.IsZero() {
		delete(u.used, name)
	}
}

// Clone returns a copy that changes independently.
func (u *Usage) Clone() Usage { return Usage{limits: u.limits, used: maps.Clone(u.used)} }

// Fits reports whether work may start without exceeding the limit of its organisation.
func (u *Usage) Fits(name string, size task.Size) bool {
	return !u.IsLimited(name) || size.Fits(u.Headroom(name))
}

// Headroom returns what an organisation may start in addition to what is counted: math.MaxInt64
// in the fields without a limit, and negative amounts where the limit is exceeded.
func (u *Usage) Headroom(name string) task.Size { return u.limits[name].Headroom(u.used[name]) }

// HasLimits reports whether any organisation has a limit.
func (u *Usage) HasLimits() bool { return len(u.limits) > 0 }

// IsLimited reports whether an organisation has a limit.
func (u *Usage) IsLimited(name string) bool {
	_, limited := u.limits[name]
	return limited
}

// Limit returns the limit of an organisation; a zero field is no limit.
func (u *Usage) Limit(name string) task.Size { return u.limits[name] }

// Used returns what is counted for an organisation.
func (u *Usage) Used(name string) task.Size { return u.used[name] }

// Active returns the names of the organisations with work, sorted.
func (u *Usage) Active() []string { return slices.Sorted(maps.Keys(u.used)) }
