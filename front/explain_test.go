package front_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cli"
)

// An operator asks any host, the owner or not. Either must lead to the owner's answer, and must not
// submit a job; the owner's death must not leave the command waiting.
func TestExplainAsksTheOwner(t *testing.T) {
	c := qt.New(t)
	d := deploy(t, 2, 1, 20*time.Second)
	d.submit(d.hosts[0], "plain", 1, 2)
	d.await("tasks started", func() bool { return d.monitor.Starts() == 2 })
	explain := func(h *hostProcess, arguments ...string) int {
		return cli.Run(append([]string{"explain", "--host", h.ip}, arguments...))
	}
	owner := d.owner()
	for _, h := range d.hosts {
		d.await("the owner's address is known", func() bool { return explain(h, "--job", fmt.Sprintf("%016x", 1)) == 0 })
		c.Check(explain(h, "--queue", "advised", "--tasks", "2", "--gang", "--json"), qt.Equals, 0)
		c.Check(explain(h, "--queue", "none"), qt.Equals, 2)
		c.Check(explain(h, "--job", fmt.Sprintf("%016x", 2)), qt.Equals, 2)
		c.Check(explain(h, "--queue", "plain", "--tasks", "100000"), qt.Equals, 2)
	}
	c.Check(d.monitor.Starts(), qt.Equals, 2)
	owner.kill()
	c.Check(explain(owner, "--queue", "plain"), qt.Equals, 1)
}
