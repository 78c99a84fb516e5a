package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/upkeep"
)

// The cell changes hands while a wave is under way. The time of the wave goes on: an owner
// that began it anew let machines wait for their tasks until the wave was late.
func TestTimeOfAWaveGoesOnAfterATakeover(t *testing.T) {
	c := qt.New(t)
	const earlier, off = 20 * time.Second, time.Second
	wave := upkeep.Wave{Number: 7, Machines: []string{"m"}, Within: 30 * time.Second, MaxDown: 1}
	began := time.Now().Add(-earlier).UnixMilli()
	o := newOwner(&desk{})
	o.RestoreWave(upkeep.Progress{Wave: 7, Since: began})
	o.SetWave(wave)
	o.TakeWaves(clock.Now())
	c.Assert(o.Waves(), qt.HasLen, 1)
	c.Assert(time.Duration(o.Waves()[0].Since-began)*time.Millisecond < off, qt.IsTrue)
	c.Assert(time.Duration(began-o.Waves()[0].Since)*time.Millisecond < off, qt.IsTrue)
}

// A wave that no owner has recorded begins when it is taken.
func TestNewWaveBeginsWhenItIsTaken(t *testing.T) {
	c := qt.New(t)
	o := newOwner(&desk{})
	before := time.Now().Add(-time.Second).UnixMilli()
	o.SetWave(upkeep.Wave{Number: 7, Machines: []string{"m"}, Within: 30 * time.Second, MaxDown: 1})
	o.TakeWaves(clock.Now())
	c.Assert(o.Waves(), qt.HasLen, 1)
	c.Assert(o.Waves()[0].Since >= before, qt.IsTrue)
}
