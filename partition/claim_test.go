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

// operation is one call of a member on an owner row.
type operation struct {
	// take tells that the member claims; otherwise it reads.
	take bool
	// epoch is the one claimed, over the one before.
	epoch uint64
	owner string
}

// result is what came of an operation.
type result struct {
	done    bool
	unknown bool
	claim   partition.Claim
}

// ownerRow is the model of an owner row: a claim, replaced only by one of the
// next epoch, so that no two members hold the same epoch.
var ownerRow = porcupine.Model{
	Init: func() any { return partition.Claim{} },
	Step: func(state, input, output any) (bool, any) {
		claim, in, out := state.(partition.Claim), input.(operation), output.(result)
		taken := partition.Claim{Owner: in.owner, Instance: in.owner, Epoch: in.epoch}
		switch {
		case !in.take:
			return out.claim == claim, claim
		case out.unknown && claim.Epoch+1 == in.epoch:
			return true, taken
		case out.unknown:
			return true, claim
		case out.done:
			return claim.Epoch+1 == in.epoch, taken
		default:
			return claim.Epoch+1 != in.epoch, claim
		}
	},
}

// TestClaimsAreLinearizable lets members race for one thing while answers are
// lost and the table is slow or refuses, and checks their history.
func TestClaimsAreLinearizable(t *testing.T) {
	t.Logf("seed %d", claimSeed)
	for round := range 20 {
		synctest.Test(t, func(t *testing.T) {
			history := race(round)
			qt.Assert(t, porcupine.CheckOperations(ownerRow, history), qt.IsTrue, qt.Commentf("round %d", round))
		})
	}
}

func race(round int) []porcupine.Operation {
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
				operations := attempt(server.Direct(), &owners, name, id)
				mu.Lock()
				history = append(history, operations...)
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return history
}

// attempt reads the row and claims it.
func attempt(table tablestore.Table, owners *partition.Owners, name string, id int) []porcupine.Operation {
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
	take := porcupine.Operation{ClientId: id, Input: operation{take: true, epoch: claim.Epoch, owner: name},
		Output: result{done: err == nil}, Call: start.UnixNano(), Return: time.Now().UnixNano()}
	switch {
	case errors.Is(err, tablestore.ErrUnknown):
		take.Output = result{unknown: true}
	case errors.Is(err, tablestore.ErrUnavailable):
		return []porcupine.Operation{read}
	}
	return []porcupine.Operation{read, take}
}

// TestPreferredMovesLittle measures what moves when one of eight members leaves:
// only what it owned.
func TestPreferredMovesLittle(t *testing.T) {
	c := qt.New(t)
	var members []member.Member
	for i := range 8 {
		members = append(members, member.Member{ID: fmt.Sprintf("e%d", i+1)})
	}
	const things = 1000
	moved, owned, byRemainder := 0, 0, 0
	most := map[string]int{}
	for i := range things {
		name := partition.Name("centro", i)
		before, _ := partition.PreferredOwner(name, members)
		after, _ := partition.PreferredOwner(name, members[1:])
		most[before.ID]++
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
	t.Logf("%d of %d things moved, by the remainder of a hash %d; owned by member: %v", moved, things, byRemainder, most)
	c.Assert(moved, qt.Equals, owned)
	for _, n := range most {
		c.Assert(n < 2*things/len(members), qt.IsTrue)
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

// TestPassedClaimTellsWhoMayHaveDecided passes a thing on twice before anyone decides
// for it, which the next owner but one learns from the row.
func TestPassedClaimTellsWhoMayHaveDecided(t *testing.T) {
	c, ctx, table := qt.New(t), t.Context(), platformstandin.New().Direct()
	var owners partition.Owners
	first, err := owners.Acquire(ctx, table, claimKey, member.Member{ID: "e1", Instance: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(first.LastDecidingEpoch(), qt.Equals, uint64(0))
	for i, passed := range []string{"e2", "e3"} {
		claim, err := owners.Transfer(ctx, table, claimKey, member.Member{ID: passed, Instance: "a"})
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
