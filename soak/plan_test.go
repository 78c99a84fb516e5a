package soak_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/soak"
)

// A seed gives the same plan each time, whose faults end in time and concern what exists.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second
		hosts, workers := rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.IntRange(1, 40).Draw(t, "workers")
		plan := soak.NewPlan(seed, length, hosts, workers)
		if again := soak.NewPlan(seed, length, hosts, workers); !slices.Equal(again, plan) {
			t.Fatalf("another plan: %v and %v", plan, again)
		}
		var last time.Duration
		for _, f := range plan {
			inTime := f.At >= last && f.At+f.Length <= length
			exists := f.Host < hosts && f.Other < hosts && f.Worker < workers
			if !inTime || !exists || !f.There && !f.Back {
				t.Fatalf("not a fault of this plan: %+v", f)
			}
			last = f.At
		}
	})
}

// Faults overlap, or series of them would not be tried.
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
