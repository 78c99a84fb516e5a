package partition_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

const (
	claimSeed = 20260412
	claimKey  = partition.PartitionPrefix + "centro-000"
)

// operation is one read of an owner row by a member, or one attempt to acquire it.
type operation struct {
	// acquire reports whether the member acquires the claim; otherwise it reads the row.
	acquire bool
	// epoch is the one acquired, which follows the present one.
	epoch uint64
	owner string
}

// result is the result of an operation.
type result struct {
	succeeded      bool
	outcomeUnknown bool
	claim          partition.Claim
}

// ownerRow is the model of an owner row: a claim is replaced only by one with the next
// epoch, so that no two members hold the same epoch.
var ownerRow = porcupine.Model{
	Init: func() any { return partition.Claim{} },
	Step: func(state, input, output any) (bool, any) {
		claim, in, out := state.(partition.Claim), input.(operation), output.(result)
		acquired := partition.Claim{Owner: in.owner, Instance: in.owner, Epoch: in.epoch}
		switch {
		case !in.acquire:
			return out.claim == claim, claim
		case out.outcomeUnknown && claim.Epoch+1 == in.epoch:
			return true, acquired
		case out.outcomeUnknown:
			return true, claim
		case out.succeeded:
			return claim.Epoch+1 == in.epoch, acquired
		default:
			return claim.Epoch+1 != in.epoch, claim
		}
	},
}

// TestClaimsAreLinearizable guards against two owners in one epoch. Members race for one
// claim while answers are lost and the table is slow or unavailable; the history of their
// operations must be linearizable.
func TestClaimsAreLinearizable(t *testing.T) {
	t.Logf("seed %d", claimSeed)
	for round := range 20 {
		synctest.Test(t, func(t *testing.T) {
			history := simulateRace(round)
			qt.Assert(t, porcupine.CheckOperations(ownerRow, history), qt.IsTrue, qt.Commentf("round %d", round))
		})
	}
}

func simulateRace(round int) []porcupine.Operation {
	server := platformstandin.New()
	faults := []platformstandin.Faults{{}, {LoseAnswers: 2}, {Delay: 30 * time.Millisecond}, {TableDown: true}}
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	for id := range 4 {
		all.Go(func() {
			random := rand.New(rand.NewPCG(claimSeed, uint64(round*10+id)))
			name := fmt.Sprintf("e%d", id)
			var owners partition.Owners
			for range 8 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				if id == 0 {
					server.SetFaults(faults[random.IntN(len(faults))])
				}
				operations := readAndAcquire(server.Direct(), &owners, name, id)
				mu.Lock()
				history = append(history, operations...)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return history
}

// readAndAcquire reads the row and acquires the claim.
func readAndAcquire(table tablestore.Table, owners *partition.Owners, name string, id int) []porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := time.Now()
	if err := owners.Refresh(ctx, table); err != nil {
		return nil
	}
	known := owners.Claim(claimKey)
	read := porcupine.Operation{ClientId: id, Input: operation{}, Output: result{claim: known},
		Call: start.UnixNano(), Return: time.Now().UnixNano()}
	start = time.Now()
	claim, err := owners.Acquire(ctx, table, claimKey, member.Member{ID: name, Instance: name})
	acquisition := porcupine.Operation{ClientId: id, Input: operation{acquire: true, epoch: claim.Epoch, owner: name},
		Output: result{succeeded: err == nil}, Call: start.UnixNano(), Return: time.Now().UnixNano()}
	switch {
	case errors.Is(err, tablestore.ErrUnknown):
		acquisition.Output = result{outcomeUnknown: true}
	case errors.Is(err, tablestore.ErrUnavailable):
		return []porcupine.Operation{read}
	}
	return []porcupine.Operation{read, acquisition}
}

// TestPreferredOwnerChangesOnlyForRemovedMember removes one of eight members. Only the
// partitions that it owned may get another preferred owner.
func TestPreferredOwnerChangesOnlyForRemovedMember(t *testing.T) {
	c := qt.New(t)
	var members []member.Member
	for i := range 8 {
		members = append(members, member.Member{ID: fmt.Sprintf("e%d", i+1)})
	}
	const resources = 1000
	moved, owned, byRemainder := 0, 0, 0
	ownedBy := map[string]int{}
	for i := range resources {
		name := partition.Name("centro", i)
		before, _ := partition.PreferredOwner(name, members)
		after, _ := partition.PreferredOwner(name, members[1:])
		ownedBy[before.ID]++
		if before.ID == members[0].ID {
			owned++
		}
		if before.ID != after.ID {
			moved++
		}
		hash := xxhash.Sum64String(name)
		if members[hash%uint64(len(members))].ID != members[1:][hash%uint64(len(members)-1)].ID {
			byRemainder++
		}
	}
	t.Logf("%d of %d preferred owners changed, by hash modulo %d; owned by member: %v", moved, resources, byRemainder, ownedBy)
	c.Assert(moved, qt.Equals, owned)
	for _, n := range ownedBy {
		c.Assert(n < 2*resources/len(members), qt.IsTrue)
	}
}

func FuzzDecodeClaim(f *testing.F) {
	f.Add([]byte(`{"Owner":"e1","Instance":"x","Epoch":3}`))
	f.Add([]byte(`{"Epoch":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if c, err := partition.DecodeClaim(data); err != nil && c != (partition.Claim{}) {
			t.Fatalf("%+v with %v", c, err)
		}
	})
}

// TestTransferredClaimKeepsLastDecidingEpoch guards against counting an owner that never
// decided. A claim is transferred twice before anyone decides under it; later owners read
// from the row who decided last.
func TestTransferredClaimKeepsLastDecidingEpoch(t *testing.T) {
	c, ctx, table := qt.New(t), t.Context(), platformstandin.New().Direct()
	var owners partition.Owners
	first, err := owners.Acquire(ctx, table, claimKey, member.Member{ID: "e1", Instance: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(first.LastDecidingEpoch(), qt.Equals, uint64(0))
	for i, owner := range []string{"e2", "e3"} {
		claim, err := owners.Transfer(ctx, table, claimKey, member.Member{ID: owner, Instance: "a"})
		c.Assert(err, qt.IsNil)
		c.Assert(claim.Epoch, qt.Equals, uint64(i+2))
		c.Assert(claim.LastDecidingEpoch(), qt.Equals, uint64(0))
	}
	c.Assert(owners.Refresh(ctx, table), qt.IsNil)
	c.Assert(owners.Claim(claimKey).LastDecidingEpoch(), qt.Equals, uint64(0))
	next, err := owners.Acquire(ctx, table, claimKey, member.Member{ID: "e4", Instance: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(next.LastDecidingEpoch(), qt.Equals, uint64(3))
}
