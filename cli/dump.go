package cli

import (
	"fmt"

	"github.com/vanillaquay/vanillaquay/operator"
)

// dumpCommand prints the state of one entry host process.
type dumpCommand struct {
	operatorOptions
	Limit int `default:"100" help:"Most entries of each list, up to 1000."`
}

// Help implements kong.HelpProvider.
func (c dumpCommand) Help() string {
	return `Example:
  vanillaquay dump --address 10.0.0.1:7100 --output json --limit 1000`
}

// Run implements the subcommand.
func (c dumpCommand) Run() error {
	var d operator.Dump
	if err := c.get(fmt.Sprintf("/v1/dump?limit=%d", c.Limit), &d); err != nil {
		return err
	}
	if c.Output == "json" {
		return printJSON(d)
	}
	printDump(d)
	return nil
}

func printDump(d operator.Dump) {
	fmt.Printf("host %s at %s, lease %s, valid %t\n", d.Host, d.At.Format("15:04:05"), d.Lease.State, d.Lease.Valid)
	fmt.Printf("configuration %d, %d members, %d calls, %d forwarded\n",
		d.ConfigurationVersion, d.MembersTotal, d.Calls, d.Forwarded)
	for _, m := range d.Members {
		fmt.Printf("member %s in %s: %s\n", m.ID, m.Zone, m.State)
	}
	for _, p := range d.Partitions {
		fmt.Printf("partition %s, epoch %d, ready %t, %d waiting\n", p.Name, p.Epoch, p.Ready, p.Waiting)
	}
	for _, r := range d.Racks {
		fmt.Printf("rack %s, epoch %d, %d attempts, %d workers\n", r.Name, r.Epoch, r.Attempts, len(r.Workers))
	}
	for _, j := range d.Work.Unanswered {
		fmt.Printf("work %s, %s, %s, %d tasks, %d waiters\n", j.Work, j.Kind, j.State, j.Tasks, j.Waiters)
	}
	for _, name := range d.Missing {
		fmt.Printf("the duty %s did not answer\n", name)
	}
}
