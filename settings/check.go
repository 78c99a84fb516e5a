package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
)

// fieldFault is a fault together with the path of its field.
type fieldFault struct {
	fault Fault
	path  []string
}

// check returns every fault of merged settings: those of single fields, and
// contradictions between the fields that are valid.
func (f sources) check(merged []byte) ([]Fault, error) {
	tree, err := jsonschema.UnmarshalJSON(bytes.NewReader(merged))
	if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	var found []fieldFault
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(tree); errors.As(err, &invalid) {
		found = f.schemaFaults(invalid)
	} else if err != nil {
		return nil, errors.Annotate(err, "settings")
	}
	found = append(found, f.boundFaults(nil, schemaTree, tree)...)
	validSettings, err := decodeWithoutFaulty(tree, found)
	if err != nil {
		return nil, err
	}
	found = append(found, f.crossFieldFaults(validSettings)...)
	var faults []Fault
	for _, each := range found {
		faults = append(faults, each.fault)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(strings.Compare(a.File, b.File), strings.Compare(a.Path, b.Path), strings.Compare(a.Reason, b.Reason))
	})
	return slices.Compact(faults), nil
}

// decodeWithoutFaulty decodes settings without the fields that have a fault, so
// that the other fields can be checked against one another. It removes the faulty
// fields from tree.
func decodeWithoutFaulty(tree any, found []fieldFault) (Settings, error) {
	for _, each := range found {
		removeField(tree, each.path)
	}
	data, err := json.Marshal(tree)
	if err != nil {
		return Settings{}, errors.Trace(err)
	}
	var s Settings
	return s, errors.Annotate(json.Unmarshal(data, &s), "settings")
}

// removeField deletes a field of generic JSON. If the path leads into a list,
// the whole list is deleted.
func removeField(tree any, path []string) {
	for i, name := range path {
		object, ok := tree.(map[string]any)
		if !ok {
			return
		}
		_, inner := object[name].(map[string]any)
		if i == len(path)-1 || !inner {
			delete(object, name)
			return
		}
		tree = object[name]
	}
}

// schemaFaults returns the leaves of a validation error as faults.
func (f sources) schemaFaults(e *jsonschema.ValidationError) []fieldFault {
	if len(e.Causes) > 0 {
		var faults []fieldFault
		for _, cause := range e.Causes {
			faults = append(faults, f.schemaFaults(cause)...)
		}
		return faults
	}
	path := e.InstanceLocation
	childPath := func(name string) []string { return append(slices.Clone(path), name) }
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		var faults []fieldFault
		for _, name := range k.Properties {
			faults = append(faults, f.newFault(childPath(name), "There is no field %q here.", name))
		}
		return faults
	case *kind.Required:
		var faults []fieldFault
		for _, name := range k.Missing {
			faults = append(faults, f.newFault(childPath(name), "The field is missing."))
		}
		return faults
	case *kind.Pattern:
		return []fieldFault{f.newFault(path, "The value %q is not %s.", k.Got, schemaDescription(e.SchemaURL))}
	case *kind.Type:
		if text := schemaDescription(e.SchemaURL); text != "" && strings.Contains(e.SchemaURL, "$defs") {
			return []fieldFault{f.newFault(path, "The value must be %s, not a %s.", text, k.Got)}
		}
		return []fieldFault{f.newFault(path, "The value must be of type %s, not %s.", strings.Join(k.Want, " or "), k.Got)}
	case *kind.Enum:
		return []fieldFault{f.newFault(path, "The value %v must be one of %v.", k.Got, k.Want)}
	case *kind.Minimum:
		return []fieldFault{f.newFault(path, "The value %s is below %s.", k.Got.RatString(), k.Want.RatString())}
	case *kind.Maximum:
		return []fieldFault{f.newFault(path, "The value %s is above %s.", k.Got.RatString(), k.Want.RatString())}
	case *kind.UniqueItems:
		return []fieldFault{f.newFault(path, "The entries %d and %d are equal.", k.Duplicates[0], k.Duplicates[1])}
	case *kind.MinItems, *kind.MinProperties:
		return []fieldFault{f.newFault(path, "There must be at least one entry.")}
	default:
		return []fieldFault{f.newFault(path, "The value is not valid: %v.", e)}
	}
}

// boundFaults returns the durations and sizes that are out of bounds. The schema
// gives their bounds as text with units, in x-minimum and x-maximum, which the
// validator does not check.
func (f sources) boundFaults(path []string, node map[string]any, value any) []fieldFault {
	object, ok := value.(map[string]any)
	if !ok {
		return f.boundFault(path, node, value)
	}
	var faults []fieldFault
	properties, _ := node["properties"].(map[string]any)
	for name, p := range properties {
		if inner, ok := object[name]; ok {
			faults = append(faults, f.boundFaults(append(slices.Clone(path), name), p.(map[string]any), inner)...)
		}
	}
	return faults
}

// boundFault checks one value against its bounds and returns at most one fault.
func (f sources) boundFault(path []string, node map[string]any, value any) []fieldFault {
	text, isText := value.(string)
	least, hasLeast := node["x-minimum"].(string)
	most, hasMost := node["x-maximum"].(string)
	if !isText || !hasLeast || !hasMost {
		return nil
	}
	amount, ok := parseAmount(text)
	if !ok {
		return nil
	}
	lower, _ := parseAmount(least)
	upper, _ := parseAmount(most)
	if amount < lower || amount > upper {
		return []fieldFault{f.newFault(path, "The value %s must be %s to %s.", text, least, most)}
	}
	return nil
}

// crossFieldFaults returns the contradictions between fields.
func (f sources) crossFieldFaults(s Settings) []fieldFault {
	var faults []fieldFault
	faults = append(faults, f.addressFaults(s)...)
	faults = append(faults, f.tokenFaults(s)...)
	for name, h := range s.Hosts {
		if h.Region != "" && len(s.Regions) > 0 && !s.HasRegion(h.Region) {
			faults = append(faults, f.newFault([]string{"Hosts", name, "Region"}, "The region %q is not one of Regions.", h.Region))
		}
	}
	return append(faults, f.limitFaults(s.Limits)...)
}

// addressFaults returns the addresses that are used twice and the ports that are
// out of range.
func (f sources) addressFaults(s Settings) []fieldFault {
	var faults []fieldFault
	seen := map[string]string{}
	for _, name := range sortedKeys(s.Hosts) {
		h := s.Hosts[name]
		for _, a := range []struct{ field, address string }{
			{"Callers", h.Callers}, {"Operators", h.Operators}, {"Peers", h.Peers},
		} {
			path := []string{"Hosts", name, a.field}
			if a.address == "" {
				continue
			}
			if _, port, ok := strings.Cut(a.address[strings.LastIndex(a.address, ":"):], ":"); ok {
				if n, err := strconv.Atoi(port); err == nil && n > 65535 {
					faults = append(faults, f.newFault(path, "The port %d is above 65535.", n))
				}
			}
			if first, ok := seen[a.address]; ok {
				faults = append(faults, f.newFault(path, "The address %s is that of %s already.", a.address, first))
				continue
			}
			seen[a.address] = strings.Join(path, ".")
		}
	}
	return faults
}

// tokenFaults returns the tokens that are used twice, as such a token would not
// identify the caller.
func (f sources) tokenFaults(s Settings) []fieldFault {
	var faults []fieldFault
	seen := map[string]string{}
	check := func(section, name, token string) {
		path := []string{section, name, "Token"}
		if first, ok := seen[token]; ok && token != "" {
			faults = append(faults, f.newFault(path, "The token is that of %s already.", first))
			return
		}
		seen[token] = section + "." + name
	}
	for _, name := range sortedKeys(s.Teams) {
		check("Teams", name, s.Teams[name].Token)
	}
	for _, name := range sortedKeys(s.Operators) {
		check("Operators", name, s.Operators[name].Token)
	}
	return faults
}

// limitFaults returns the limits that contradict one another.
func (f sources) limitFaults(l Limits) []fieldFault {
	var faults []fieldFault
	addFault := func(field, format string, args ...any) {
		faults = append(faults, f.newFault([]string{"Limits", field}, format, args...))
	}
	if l.OpenPerTeam > l.Connections && l.Connections > 0 {
		addFault("OpenPerTeam", "One team could hold all %d connections; the value %d must be at most Limits.Connections.", l.Connections, l.OpenPerTeam)
	}
	if l.BodyTimeout > l.Wait && l.Wait > 0 {
		addFault("BodyTimeout", "The time for a body, %v, is longer than Limits.Wait, %v.", l.BodyTimeout, l.Wait)
	}
	if l.HeaderTimeout > l.BodyTimeout && l.BodyTimeout > 0 {
		addFault("HeaderTimeout", "The time for a header, %v, is longer than Limits.BodyTimeout, %v.", l.HeaderTimeout, l.BodyTimeout)
	}
	return faults
}

func sortedKeys[V any](values map[string]V) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
