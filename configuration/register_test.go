package configuration_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

func TestProposeOnOutdatedVersionIsRejectedWithConflict(t *testing.T) {
	r := configuration.Register{Table: &table{}}
	ctx := context.Background()
	first, err := r.Propose(ctx, configuration.Configuration{}.WithTeam("domes", configuration.Team{Weight: 2}), "ana")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(first.State), qt.Equals, "Accepted")
	second, err := r.Propose(ctx, configuration.Configuration{}.WithTeam("domes", configuration.Team{Weight: 3}), "ben")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(second.State), qt.Equals, "Rejected")
	var conflict *configuration.ConflictError
	qt.Assert(t, errors.As(second.Err, &conflict), qt.IsTrue)
	qt.Assert(t, conflict.Current.Version, qt.Equals, uint64(1))
	qt.Assert(t, conflict.Differences, qt.HasLen, 1)
	qt.Assert(t, conflict.Differences[0].Path, qt.Equals, "Teams.domes.Weight")
	qt.Assert(t, string(conflict.Differences[0].From), qt.Equals, "2")
}

func TestEditsOfDifferentFieldsBothSucceed(t *testing.T) {
	shared := &table{}
	r := configuration.Register{Table: shared}
	writeOtherField := sync.OnceFunc(func() {
		rival := configuration.Register{Table: &table{row: shared.row}}
		p, err := rival.Edit(context.Background(), "ben", func(c configuration.Configuration) configuration.Configuration {
			return c.WithDrained("w2", true)
		})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(p.State), qt.Equals, "Accepted")
		shared.row = rival.Table.(*table).row
	})
	shared.beforeWrite = writeOtherField
	p, err := r.Edit(context.Background(), "ana", func(c configuration.Configuration) configuration.Configuration {
		return c.WithDrained("w1", true)
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(p.State), qt.Equals, "Accepted")
	qt.Assert(t, p.Accepted.Drained, qt.DeepEquals, []string{"w1", "w2"})
}

func TestEditsOfOneFieldConflict(t *testing.T) {
	shared := &table{}
	r := configuration.Register{Table: shared}
	shared.beforeWrite = sync.OnceFunc(func() {
		rival := configuration.Register{Table: &table{row: shared.row}}
		_, err := rival.Propose(context.Background(), configuration.Configuration{}.WithTeam("domes", configuration.Team{Weight: 9}), "ben")
		qt.Check(t, err, qt.IsNil)
		shared.row = rival.Table.(*table).row
	})
	p, err := r.Edit(context.Background(), "ana", func(c configuration.Configuration) configuration.Configuration {
		return c.WithTeam("domes", configuration.Team{Weight: 2})
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(p.State), qt.Equals, "Rejected")
}

// TestUnknownFieldsAreReadableButBlockWrites guards against a write by an older
// release that drops the fields of a later one: they are ignored on reading, and a
// change is an error.
func TestUnknownFieldsAreReadableButBlockWrites(t *testing.T) {
	later := &table{row: tablestore.Row{Version: 1, Value: []byte(`{"Version": 1, "Later": true}`)}}
	r := configuration.Register{Table: later}
	c, err := r.Read(context.Background())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Version, qt.Equals, uint64(1))
	_, err = r.Propose(context.Background(), c, "ana")
	qt.Assert(t, err, qt.ErrorMatches, ".*unknown field.*")
}

// operation is the input of one operation of a history; the zero value is a read.
type operation struct {
	baseVersion uint64
	weight      int
}

// outcome is what an operation returned.
type outcome struct {
	// state is a state of the chart, "Read" or "Unknown".
	state   string
	version uint64
	weight  int
}

// registerModel is the sequential register that a history must agree with.
var registerModel = porcupine.Model{
	Init: func() any { return outcome{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(outcome), input.(operation), output.(outcome)
		next := outcome{version: in.baseVersion + 1, weight: in.weight}
		switch out.state {
		case "Read":
			return s.version == out.version && s.weight == out.weight, s
		case "Accepted":
			return s.version == in.baseVersion, next
		case "Rejected":
			return s.version != in.baseVersion, s
		default:
			if s.version == in.baseVersion {
				return true, next
			}
			return true, s
		}
	},
}

func TestRegisterIsLinearizableWhenResponsesAreLost(t *testing.T) {
	for seed := range uint64(20) {
		history := recordHistory(seed)
		if !porcupine.CheckOperations(registerModel, history) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
		}
	}
}

// recordHistory returns the history of operators that read and change one register
// concurrently.
func recordHistory(seed uint64) []porcupine.Operation {
	const operators, rounds = 4, 6
	shared := &table{random: rand.New(rand.NewPCG(seed, 1)), lostPercent: 40}
	started := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(operator int, in operation, call time.Duration, out outcome) {
		done := int64(time.Since(started))
		if out.state == "Unknown" {
			done = math.MaxInt64
		}
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{ClientId: operator, Input: in, Call: int64(call), Output: out, Return: done})
	}
	var wait sync.WaitGroup
	for operator := range operators {
		wait.Go(func() {
			r := configuration.Register{Table: shared}
			for round := range rounds {
				call := time.Since(started)
				c, err := r.Read(context.Background())
				if err != nil {
					continue
				}
				record(operator, operation{}, call, outcome{state: "Read", version: c.Version, weight: c.Teams["domes"].Weight})
				weight := 1 + operator*rounds + round
				in := operation{baseVersion: c.Version, weight: weight}
				call = time.Since(started)
				ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
				p, err := r.Propose(ctx, c.WithTeam("domes", configuration.Team{Weight: weight}), fmt.Sprint(operator))
				cancel()
				switch {
				case err == nil:
					record(operator, in, call, outcome{state: string(p.State)})
				case errors.Is(err, configuration.ErrUnknown):
					record(operator, in, call, outcome{state: "Unknown"})
				}
			}
		})
	}
	wait.Wait()
	return history
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"Version": 3, "Teams": {"domes": {"Quota": {"Memory": "1GiB"}, "Weight": 2}}, "Drained": ["w1"]}`))
	f.Add([]byte(`{"Drained": ["w1", "w1"]}`))
	f.Add([]byte(`{"Teams": {"domes": {"Weight": -1}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		strict, err := configuration.Parse(data)
		if err != nil {
			return
		}
		lenient, err := configuration.Decode(data)
		if err != nil {
			t.Fatalf("Decode rejects a configuration that Parse accepts: %v", err)
		}
		differences, err := configuration.Diff(strict, lenient)
		if err != nil || len(differences) > 0 {
			t.Fatalf("Parse and Decode differ: %v, %v", differences, err)
		}
	})
}
