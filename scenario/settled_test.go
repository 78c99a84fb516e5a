package scenario_test

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/partition"
)

// settledCommand waits until every named entry host knows all of them as members and
// each partition and rack is owned by its preferred owner:
//
//	settled ENTRY...
func settledCommand(ts *testscript.TestScript, _ bool, args []string) {
	retry(ts, func() error { return cellOf(ts).checkSettled(args) })
}

// checkSettled returns an error that says what is not settled yet, or nil.
func (c *cell) checkSettled(entries []string) error {
	owned := map[string]bool{}
	regions := map[string]bool{}
	for _, name := range entries {
		d, err := c.dump(name)
		if err != nil {
			return err
		}
		if d.MembersTotal != len(entries) {
			return errors.Errorf("%s does not know exactly the expected members", name)
		}
		var neighbours []member.Member
		for _, m := range d.Members {
			if m.Region == regionOf(d, name) {
				neighbours = append(neighbours, m)
			}
		}
		regions[regionOf(d, name)] = true
		for _, p := range d.Partitions {
			if best, _ := partition.PreferredOwner(p.Name, neighbours); best.ID != name || !p.Ready {
				return errors.Errorf("%s is not settled at %s", p.Name, name)
			}
			owned[p.Name] = true
		}
		for _, r := range d.Racks {
			if best, _ := partition.PreferredOwner(r.Name, neighbours); best.ID != name {
				return errors.Errorf("%s is not settled at %s", r.Name, name)
			}
		}
	}
	if len(owned) < 4*len(regions) {
		return errors.New("partitions without an owner")
	}
	return nil
}

func regionOf(d operator.Dump, name string) string {
	for _, m := range d.Members {
		if m.ID == name {
			return m.Region
		}
	}
	return ""
}

// dump returns the state of an entry host.
func (c *cell) dump(entry string) (operator.Dump, error) {
	var d operator.Dump
	_, err := c.callOperator(entry, http.MethodGet, "/v1/dump", nil, &d)
	return d, err
}
