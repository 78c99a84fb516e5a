package partition

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Key prefixes of owner rows.
const (
	PartitionPrefix = "owner/partition/"
	RackPrefix      = "owner/rack/"
)

// maxOwnerRows bounds the owner rows that one read returns.
const maxOwnerRows = 10000

// Claim is the content of an owner row, which names the owner of a partition or rack.
type Claim struct {
	// Owner and Instance name the member; both are empty after a release.
	Owner    string `json:"Owner"`
	Instance string `json:"Instance"`
	// Epoch increases with every change of owner.
	Epoch uint64 `json:"Epoch"`
	// Unused is the number of epochs immediately before this one under which nobody
	// decided, because the owner transferred the claim before it began to decide.
	Unused uint64 `json:"Unused,omitempty"`
}

// LastDecidingEpoch returns the highest epoch under which an earlier owner may have
// decided; 0 means none.
func (c Claim) LastDecidingEpoch() uint64 { return c.Epoch - min(c.Epoch, c.Unused+1) }

// DecodeClaim decodes the value of an owner row.
func DecodeClaim(value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, errors.Annotate(err, "claim")
	}
	return c, nil
}

// HeldBy reports whether the claim belongs to a member's present instance.
func (c Claim) HeldBy(m member.Member) bool { return c.Owner == m.ID && c.Instance == m.Instance }

// Owners is this host's cache of all owner rows. The zero value is empty. Owners is safe
// for concurrent use.
type Owners struct {
	mu     sync.Mutex
	claims map[string]versionedClaim
}

// versionedClaim is a claim with the version of its row.
type versionedClaim struct {
	claim   Claim
	version tablestore.Version
}

// Refresh replaces the cache with the owner rows in the table.
func (o *Owners) Refresh(ctx context.Context, table tablestore.Table) error {
	rows, err := table.List(ctx, "owner/", "", maxOwnerRows)
	if err != nil {
		return errors.Annotate(err, "owners")
	}
	fresh := map[string]versionedClaim{}
	for _, row := range rows {
		c, err := DecodeClaim(row.Value)
		if err != nil {
			// Skip a damaged row, so that it does not block the others.
			continue
		}
		fresh[row.Key] = versionedClaim{claim: c, version: row.Version}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.claims = fresh
	return nil
}

// Claim returns the cached claim in the row with the given key.
func (o *Owners) Claim(key string) Claim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claims[key].claim
}

// Epochs returns the epochs of the cached claims whose keys have the given prefix, by the
// rest of the key.
func (o *Owners) Epochs(prefix string) map[string]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	epochs := map[string]uint64{}
	for key, held := range o.claims {
		if name, ok := strings.CutPrefix(key, prefix); ok {
			epochs[name] = held.claim.Epoch
		}
	}
	return epochs
}

// Acquire makes a member the owner under the next epoch. It fails with
// tablestore.ErrConflict if the row has changed since it was cached. If the outcome is not
// known, the next Refresh shows it.
func (o *Owners) Acquire(ctx context.Context, table tablestore.Table, key string, m member.Member) (Claim, error) {
	old := o.lookUp(key)
	claim := Claim{Owner: m.ID, Instance: m.Instance, Epoch: old.claim.Epoch + 1}
	return claim, o.put(ctx, table, key, claim, old.version)
}

// Transfer makes a member the owner like Acquire, in place of an owner that has not begun
// to decide under the present epoch and never will.
func (o *Owners) Transfer(ctx context.Context, table tablestore.Table, key string, m member.Member) (Claim, error) {
	old := o.lookUp(key)
	claim := Claim{Owner: m.ID, Instance: m.Instance, Epoch: old.claim.Epoch + 1, Unused: old.claim.Unused + 1}
	return claim, o.put(ctx, table, key, claim, old.version)
}

// Release releases the claim, so that the next owner need not wait.
func (o *Owners) Release(ctx context.Context, table tablestore.Table, key string) error {
	old := o.lookUp(key)
	return o.put(ctx, table, key, Claim{Epoch: old.claim.Epoch}, old.version)
}

func (o *Owners) lookUp(key string) versionedClaim {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claims[key]
}

func (o *Owners) put(ctx context.Context, table tablestore.Table, key string, c Claim, expected tablestore.Version) error {
	value, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	version, err := table.Put(ctx, key, value, expected)
	if err != nil {
		return errors.Annotatef(err, "claim of %s", key)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.claims == nil {
		o.claims = map[string]versionedClaim{}
	}
	o.claims[key] = versionedClaim{claim: c, version: version}
	return nil
}
