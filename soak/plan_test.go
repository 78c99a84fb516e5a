package soak_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/soak"
)

// Guards against plans that differ for the same seed, faults beyond the end of the run, and
// faults of hosts or workers that don't exist.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second
		hosts, workers := rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.IntRange(1, 40).Draw(t, "workers")
		plan := soak.NewPlan(seed, length, hosts, workers)
		if again := soak.NewPlan(seed, length, hosts, workers); !slices.Equal(again, plan) {
			t.Fatalf("the same seed gave two plans: %v and %v", plan, again)
		}
		var last time.Duration
		for _, f := range plan {
			inTime := f.At >= last && f.At+f.Length <= length
			exists := f.Host < hosts && f.Other < hosts && f.Worker < workers
			if !inTime || !exists || !f.There && !f.Back {
				t.Fatalf("invalid fault: %+v", f)
			}
			last = f.At
		}
	})
}

// Guards against plans whose faults rarely overlap, which would leave combinations of
// faults untested.
func TestFaultsOverlap(t *testing.T) {
	overlaps := 0
	plan := soak.NewPlan(1, 10*time.Minute, 6, 8)
	for i, f := range plan[1:] {
		if f.At < plan[i].At+plan[i].Length {
			overlaps++
		}
	}
	qt.Assert(t, overlaps > len(plan)/4, qt.IsTrue)
}

// Guards against plans without takeovers in short succession, in which a host that was
// replaced as the owner may answer calls from its memory.
func TestPlanHasSeriesOfTakeovers(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults []soak.Fault
		least  int
	}{
		{"all faults", soak.NewPlan(1, 10*time.Minute, 6, 8), 40},
		{"takeovers only", soak.NewTakeoverPlan(1, 10*time.Minute, 6), 60},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := 0
			var last time.Duration
			for _, f := range test.faults {
				isTakeover := slices.Contains([]soak.Kind{soak.Pause, soak.CutStore, soak.HoldStore, soak.SilenceStore}, f.Kind) && f.Owner
				if !isTakeover || f.Length < time.Second {
					continue
				}
				if f.At-last < 3*time.Second {
					n++
				}
				last = f.At
			}
			qt.Assert(t, n >= test.least, qt.IsTrue, qt.Commentf("%d takeovers followed another one within 3 s", n))
		})
	}
}

// Guards against takeover plans that differ for the same seed, that have faults beyond the
// end of the run or no calm period in which a task must be gone after a cancellation.
func TestTakeoverPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(30, 300).Draw(t, "seconds")) * time.Second
		hosts := rapid.IntRange(1, 40).Draw(t, "hosts")
		plan := soak.NewTakeoverPlan(seed, length, hosts)
		if again := soak.NewTakeoverPlan(seed, length, hosts); !slices.Equal(again, plan) {
			t.Fatalf("the same seed gave two plans: %v and %v", plan, again)
		}
		var last, end, calm time.Duration
		for _, f := range plan {
			if f.At < last || f.At+f.Length > length || f.Host >= hosts || !f.Owner || !f.There && !f.Back {
				t.Fatalf("invalid fault: %+v", f)
			}
			calm = max(calm, f.At-end)
			last, end = f.At, max(end, f.At+f.Length)
		}
		if calm < 8*time.Second {
			t.Fatalf("the longest calm period of %v takes %s", plan, calm)
		}
	})
}

// Guards against changes of organisations that differ for the same seed, of organisations that
// don't exist, and against limits at the end, behind which jobs would wait.
func TestOrganisationPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(2, 300).Draw(t, "seconds")) * time.Second
		plan := soak.NewOrganisationPlan(seed, length, 3, true)
		if again := soak.NewOrganisationPlan(seed, length, 3, true); !slices.Equal(again, plan) {
			t.Fatalf("the same seed gave two plans: %v and %v", plan, again)
		}
		limits := map[int]int64{}
		for _, f := range plan {
			if f.Organisation >= 3 || f.At >= length || !f.Kind.Planned() {
				t.Fatalf("invalid change: %+v", f)
			}
			if f.Kind == soak.ChangeLimit {
				limits[f.Organisation] = f.Limit
			}
		}
		if limits[0]+limits[1]+limits[2] > 0 {
			t.Fatalf("limits remain: %v", limits)
		}
	})
}

// Guards against plans in which no worker that has started again is soon unreachable, faults of
// workers that don't exist, and faults beyond the end of the run.
func TestCrashPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		plan := soak.NewCrashPlan(seed, length, workers)
		if again := soak.NewCrashPlan(seed, length, workers); !slices.Equal(again, plan) {
			t.Fatalf("the same seed gave two plans: %v and %v", plan, again)
		}
		started := map[int]time.Duration{}
		var last time.Duration
		for _, f := range plan {
			if f.At < last || f.At+f.Length > length || f.Worker >= workers {
				t.Fatalf("invalid fault: %+v", f)
			}
			last = f.At
			switch reached := f.At - started[f.Worker]; {
			case f.Kind == soak.CrashWorker:
				started[f.Worker] = f.At + f.Length
			case reached <= 0 || reached > 2*time.Second:
				t.Fatalf("unreachable %s after the start: %+v", reached, f)
			}
		}
	})
}
