package entry_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/entry"
	"github.com/vanillaquay/vanillaquay/settings"
)

// TestLowerVersionIsNeverApplied guards against a configuration that replaces a higher
// version when several members push versions concurrently and out of order.
func TestLowerVersionIsNeverApplied(t *testing.T) {
	const seed, versions, members = 7, 200, 4
	t.Logf("seed %d", seed)
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	h, err := entry.New("e1", settings.Settings{
		Platform: "http://127.0.0.1:0", Regions: []string{"centro"}, PartitionsPerRegion: 1,
		Hosts: map[string]settings.Host{"e1": {Region: "centro"}},
	}, log)
	qt.Assert(t, err, qt.IsNil)
	var wait sync.WaitGroup
	for i := range members {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wait.Go(func() {
			for _, n := range random.Perm(versions) {
				h.Apply(configuration.Configuration{Version: uint64(n + 1)})
			}
		})
	}
	wait.Wait()
	qt.Assert(t, h.InForce().Version, qt.Equals, uint64(versions))
	last := uint64(0)
	for _, e := range hook.AllEntries() {
		version, ok := e.Data["Version"].(uint64)
		if !ok {
			continue
		}
		qt.Assert(t, version > last, qt.IsTrue, qt.Commentf("version %d came into force after %d", version, last))
		last = version
	}
	qt.Assert(t, last, qt.Equals, uint64(versions))
}
