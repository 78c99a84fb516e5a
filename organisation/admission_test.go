package organisation_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/organisation"
	"github.com/vanillaquay/vanillaquay/workload"
)

// share sends jobs of 20 organisations at their weights times load a second for 60 s, with random
// intervals. From 20 s to 27 s the first three send 7.5 times as many. It returns the fractions of
// the jobs beyond the share of these three in that time, and of all other organisations.
func share(weightOf func(n int) float64, load float64) (burst, others float64) {
	random := rand.New(rand.NewPCG(1, 2))
	var a organisation.Admission
	var list []workload.Organisation
	for n := range 20 {
		list = append(list, workload.Organisation{Name: fmt.Sprint(n), Weight: weightOf(n)})
	}
	a.SetWeights(list)
	var jobs, beyond [2]float64
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		for n, o := range list {
			rate, group := o.Weight*load, 1
			if n < 3 && now > 20*time.Second && now < 27*time.Second {
				rate, group = 7.5*rate, 0
			}
			if random.Float64() > rate/1000 {
				continue
			}
			v := a.Admit(now, o.Name, false)
			if n >= 3 || group == 0 {
				jobs[group]++
				if v.BeyondShare {
					beyond[group]++
				}
			}
		}
	}
	return beyond[0] / jobs[0], beyond[1] / jobs[1]
}

// Three of 20 organisations send 7.5 times their usual load for 7 s. Most of that must be beyond
// their share, and hardly any job of the others, whether weights are jobs a second or ratios.
func TestBurstIsBeyondShareAndOthersAreNot(t *testing.T) {
	for name, load := range map[string]float64{"Rates": 1, "Ratios": 20, "Below": 0.8} {
		t.Run(name, func(t *testing.T) {
			burst, others := share(func(n int) float64 { return 0.5 + float64(n%4) }, load)
			t.Logf("beyond the share: %.3f of the burst, %.3f of the others", burst, others)
			qt.Assert(t, burst > 0.5, qt.IsTrue)
			qt.Assert(t, others < 0.05, qt.IsTrue)
		})
	}
}

// Jobs beyond the share wait in vain. New ones are refused until the time that the refusal states,
// jobs within the share and those of others never, and an organisation that isn't listed has the
// usual weight.
func TestRefusalUntilAccountHoldsAJob(t *testing.T) {
	for name, weight := range map[string]float64{"a": 0.25, "b": -1, "unlisted": math.NaN()} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var a organisation.Admission
			a.SetWeights([]workload.Organisation{{Name: "a", Weight: weight}, {Name: "b", Weight: weight}, {Name: "c", Weight: 20}})
			now, accepted := time.Hour, 0
			v := a.Admit(now, name, true)
			for ; !v.Refused() && accepted < 10; v = a.Admit(now, name, true) {
				c.Assert(v.BeyondShare, qt.IsFalse)
				accepted++
			}
			c.Assert(accepted >= 2 && v.BeyondShare, qt.IsTrue)
			c.Assert(v.RetryAfter >= time.Second && v.RetryAfter <= 4*time.Second, qt.IsTrue, qt.Commentf("%s", v.RetryAfter))
			c.Assert(a.Admit(now, "", true), qt.Equals, organisation.Verdict{})
			c.Assert(a.Admit(now+v.RetryAfter, name, true).Refused(), qt.IsFalse)
			c.Assert(a.Counts(name), qt.Equals, organisation.Counts{Within: int64(accepted) + 1, Refused: 1})
		})
	}
}

// While the store is away, accepted jobs can't be recorded and are sent again. These repeats must
// not exceed the share.
func TestReturnedJobsAreNotCharged(t *testing.T) {
	var a organisation.Admission
	for range 100 {
		v := a.Admit(time.Second, "a", true)
		qt.Assert(t, v, qt.Equals, organisation.Verdict{})
		a.Return(time.Second, "a", v.BeyondShare)
	}
}

// One large organisation sends many times its weight while the others are below theirs. Its own
// jobs must not raise its share: in a second no more than its weight and what the account held are
// within.
func TestOwnJobsDoNotRaiseTheShare(t *testing.T) {
	var a organisation.Admission
	a.SetWeights([]workload.Organisation{{Name: "large", Weight: 60}, {Name: "other", Weight: 100}})
	within := 0
	for now := time.Minute; now < time.Minute+10*time.Second; now += 3 * time.Millisecond {
		if !a.Admit(now, "large", false).BeyondShare {
			within++
		}
	}
	qt.Assert(t, within >= 600 && within <= 15*60+1, qt.IsTrue, qt.Commentf("%d jobs in 10 s", within))
}
