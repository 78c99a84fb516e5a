package configuration

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// Difference is one field in which two configurations differ.
type Difference struct {
	// Path names the field, as in "Teams.domes.Weight".
	Path string
	// From and To are the values as JSON; null is absent.
	From json.RawMessage
	To   json.RawMessage
}

// Diff lists the fields whose values differ, in order of path. The version and
// the list of changes are left out.
func Diff(from, to Configuration) ([]Difference, error) {
	left, err := toGenericJSON(from)
	if err != nil {
		return nil, err
	}
	right, err := toGenericJSON(to)
	if err != nil {
		return nil, err
	}
	var differences []Difference
	appendDifferences(nil, left, right, &differences)
	return differences, nil
}

// content is a configuration in which lists of names are sets, so that two
// operators who drain different workers change different fields.
type content struct {
	Teams                 map[string]Team
	Drained, DrainedHosts map[string]bool
}

// toGenericJSON returns the content of a configuration as generic JSON.
func toGenericJSON(c Configuration) (any, error) {
	data, err := json.Marshal(content{Teams: c.Teams, Drained: toSet(c.Drained), DrainedHosts: toSet(c.DrainedHosts)})
	if err != nil {
		return nil, err
	}
	var value any
	return value, json.Unmarshal(data, &value)
}

func toSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

func appendDifferences(path []string, from, to any, differences *[]Difference) {
	left, isLeft := from.(map[string]any)
	right, isRight := to.(map[string]any)
	if !isLeft && !isRight {
		if !reflect.DeepEqual(from, to) {
			*differences = append(*differences, Difference{Path: strings.Join(path, "."), From: raw(from), To: raw(to)})
		}
		return
	}
	names := map[string]bool{}
	for name := range left {
		names[name] = true
	}
	for name := range right {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		appendDifferences(append(slices.Clone(path), name), left[name], right[name], differences)
	}
}

// raw returns a value that came from JSON as JSON again.
func raw(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage("null")
	}
	return data
}
