package workload

import "github.com/vanillaquay/vanillaquay/task"

// DefaultWeight is the weight of an organisation that the catalogue doesn't have.
const DefaultWeight = 1

// Organisation is a customer of the operator, whose callers submit jobs with its keys.
type Organisation struct {
	Name string
	// Keys identify the organisation in calls. No two organisations have the same key.
	Keys []string
	// Weight is the organisation's share of a full cell relative to the others, and the number
	// of jobs per second that its contract covers.
	Weight float64
	// Limit bounds the total demand of its runs over all workers; a zero field is no limit.
	Limit task.Size
}

// WithOrganisations returns a version in which calls need a key of one of the given
// organisations. A key that several of them list belongs to the first.
func (c Catalogue) WithOrganisations(organisations []Organisation) Catalogue {
	c.Organisations, c.ChecksKeys = organisations, true
	c.organisationByKey = map[string]string{}
	for _, o := range organisations {
		for _, key := range o.Keys {
			if _, taken := c.organisationByKey[key]; !taken && key != "" {
				c.organisationByKey[key] = o.Name
			}
		}
	}
	return c
}

// OrganisationOf returns the name of the organisation with a key, or false if there is none.
func (c Catalogue) OrganisationOf(key string) (name string, ok bool) {
	name, ok = c.organisationByKey[key]
	return name, ok
}
