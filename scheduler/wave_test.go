package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/upkeep"
)

// The cell changes hands during a wave. The time of the wave must continue; if it began
// anew, machines would wait for their tasks until the wave was late.
func TestWaveTimeContinuesAfterTakeover(t *testing.T) {
	c := qt.New(t)
	const earlier, off = 20 * time.Second, time.Second
	wave := upkeep.Wave{Number: 7, Machines: []string{"m"}, Within: 30 * time.Second, MaxDown: 1}
	began := time.Now().Add(-earlier).UnixMilli()
	o := newOwner(&fakeMembers{})
	o.RestoreWave(upkeep.Progress{Wave: 7, Since: began})
	o.SetWave(wave)
	o.PlanNewWaves(clock.Now())
	c.Assert(o.UnrecordedWaves(), qt.HasLen, 1)
	c.Assert(time.Duration(o.UnrecordedWaves()[0].Since-began)*time.Millisecond < off, qt.IsTrue)
	c.Assert(time.Duration(began-o.UnrecordedWaves()[0].Since)*time.Millisecond < off, qt.IsTrue)
}

// A wave without recorded progress begins when it is first planned.
func TestNewWaveBeginsWhenPlanned(t *testing.T) {
	c := qt.New(t)
	o := newOwner(&fakeMembers{})
	before := time.Now().Add(-time.Second).UnixMilli()
	o.SetWave(upkeep.Wave{Number: 7, Machines: []string{"m"}, Within: 30 * time.Second, MaxDown: 1})
	o.PlanNewWaves(clock.Now())
	c.Assert(o.UnrecordedWaves(), qt.HasLen, 1)
	c.Assert(o.UnrecordedWaves()[0].Since >= before, qt.IsTrue)
}
