package settings_test

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/settings"
)

const base = `{
  "Platform": "http://10.0.0.9:7000",
  "Regions": ["centro", "austral"],
  "Hosts": {
    "e1": {"Region": "centro", "Zone": "centro-0", "Callers": "10.0.0.1:7000", "Operators": "10.0.0.1:7100", "Peers": "10.0.0.1:7200"},
    "e2": {"Region": "austral", "Zone": "austral-0", "Callers": "10.0.0.2:7000", "Operators": "10.0.0.2:7100", "Peers": "10.0.0.2:7200"}
  },
  "Teams": {"domes": {"Token": "t-domes"}},
  "Operators": {"ops": {"Token": "t-ops"}}
}`

// load writes the files "0.json", "1.json" and so on and loads them. It returns
// the settings, or the file and path of each fault in sorted order.
func load(t *testing.T, files ...string) (settings.Settings, []string) {
	dir := t.TempDir()
	var names []string
	for i, content := range files {
		name := filepath.Join(dir, string(rune('0'+i))+".json")
		qt.Assert(t, os.WriteFile(name, []byte(content), 0o600), qt.IsNil)
		names = append(names, name)
	}
	s, err := settings.Load(names[0], names[1:]...)
	var found *settings.FaultsError
	if err == nil || !errors.As(err, &found) {
		qt.Assert(t, err, qt.IsNil)
		return s, nil
	}
	var faults []string
	for _, f := range found.Faults {
		qt.Check(t, f.Reason, qt.Matches, `(?s)[A-Z].*\.`)
		faults = append(faults, filepath.Base(f.File)+" "+f.Path)
	}
	slices.Sort(faults)
	return s, faults
}

func TestOverlayOverridesBase(t *testing.T) {
	s, faults := load(t, base, `{"Limits": {"Wait": "2m"}, "Hosts": {"e2": null}, "Log": {"Form": "JSON"}}`)
	qt.Assert(t, faults, qt.IsNil)
	qt.Assert(t, s.Limits.Wait, qt.Equals, quantity.Duration(2*time.Minute))
	qt.Assert(t, s.Limits.Body, qt.Equals, quantity.Bytes(2<<20))
	qt.Assert(t, s.Log, qt.Equals, settings.Log{Form: "JSON", Level: "Info"})
	qt.Assert(t, s.Hosts, qt.HasLen, 1)
}

func TestAllFaultsAreReportedWithTheirFile(t *testing.T) {
	_, faults := load(t, base,
		`{"Limits": {"BodyTimeout": "10", "Connections": 1, "Waits": "1s"}, "Hosts": {"e2": {"Region": "norte", "Callers": "10.0.0.1:7000"}}}`,
		`{"Platform": "10.0.0.9:7000", "Limits": {"Body": "2MB", "WriteTimeout": "1h", "RatePerTeam": "many"},
		  "Log": {"Level": "Loud"}, "Operators": {"ops": {"Token": "t-domes"}, "new": {}}, "Hosts": {"e1": {"Zone": null, "Peers": "host:1"}}}`)
	qt.Assert(t, faults, qt.DeepEquals, []string{
		"1.json Hosts.e2.Callers",
		"1.json Hosts.e2.Region",
		"1.json Limits.BodyTimeout",
		"1.json Limits.Connections",
		"1.json Limits.Waits",
		"2.json Hosts.e1.Peers",
		"2.json Hosts.e1.Zone",
		"2.json Limits.Body",
		"2.json Limits.RatePerTeam",
		"2.json Limits.WriteTimeout",
		"2.json Log.Level",
		"2.json Operators.new.Token",
		"2.json Operators.ops.Token",
		"2.json Platform",
	})
}

func TestContradictoryLimitsAreFaults(t *testing.T) {
	_, faults := load(t, base, `{"Limits": {"BodyTimeout": "2m", "Wait": "1m", "HeaderTimeout": "1m", "OpenPerTeam": 5000}}`)
	qt.Assert(t, faults, qt.DeepEquals, []string{"1.json Limits.BodyTimeout", "1.json Limits.OpenPerTeam"})
}

func TestSyntaxErrorIsReportedWithItsLine(t *testing.T) {
	_, err := settings.Parse([]byte("{\n\"Platform\": \"http://a\",\n\"Regions\": [\"centro\""))
	qt.Assert(t, err, qt.ErrorMatches, `(?s)settings: The JSON is not valid.*`)
	_, err = settings.Parse([]byte("{\n\"Platform\" 1}"))
	qt.Assert(t, err, qt.ErrorMatches, `(?s).*in line 2.*`)
	_, err = settings.Parse([]byte("[]"))
	qt.Assert(t, err, qt.ErrorMatches, `.*JSON object.*`)
}

func TestZeroSectionsHaveDefaults(t *testing.T) {
	s := settings.Settings{}.WithDefaults()
	qt.Assert(t, s.Limits.Connections > 0, qt.IsTrue)
	qt.Assert(t, s.Log.Form, qt.Equals, "Text")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte(`{"Limits": {"Body": "1MiB"}, "Hosts": 3}`))
	f.Add([]byte(`{"Hosts": {"": {"Callers": ":"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse(data)
		var found *settings.FaultsError
		if errors.As(err, &found) && len(found.Faults) == 0 {
			t.Fatal("FaultsError without a fault")
		}
		if err == nil && (s.Platform == "" || len(s.Hosts) == 0 || s.Limits.Body == 0) {
			t.Fatalf("accepted without a required field: %+v", s)
		}
	})
}

// field is a row of docs/SETTINGS.md.
type field struct{ path, typeName, defaultValue, bound string }

func (f field) row() string {
	return "| `" + f.path + "` | " + f.typeName + " | " + f.defaultValue + " | " + f.bound + " |"
}

// node is the part of a schema that docs/SETTINGS.md shows.
type node struct {
	Ref                  string `json:"$ref"`
	Type                 string
	Enum                 []string
	Default              any
	Minimum, Maximum     json.Number
	Least                string `json:"x-minimum"`
	Most                 string `json:"x-maximum"`
	Properties           map[string]node
	AdditionalProperties json.RawMessage
	Description          string
}

func fieldsOf(t *testing.T, path string, n node) []field {
	var fields []field
	for _, name := range slices.Sorted(maps.Keys(n.Properties)) {
		fields = append(fields, fieldsOf(t, strings.TrimPrefix(path+"."+name, "."), n.Properties[name])...)
	}
	var each node
	if len(n.AdditionalProperties) > 0 && n.AdditionalProperties[0] == '{' {
		qt.Assert(t, json.Unmarshal(n.AdditionalProperties, &each), qt.IsNil)
		fields = append(fields, fieldsOf(t, path+".NAME", each)...)
	}
	if len(fields) > 0 {
		return fields
	}
	qt.Check(t, n.Description, qt.Not(qt.Equals), "", qt.Commentf("%s", path))
	return []field{{path: path, typeName: n.typeName(), defaultValue: n.defaultValue(), bound: n.bound()}}
}

func (n node) typeName() string {
	switch {
	case n.Ref != "":
		return strings.TrimPrefix(n.Ref, "#/$defs/")
	case len(n.Enum) > 0:
		return strings.Join(n.Enum, ", ")
	default:
		return n.Type
	}
}

func (n node) defaultValue() string {
	if n.Default == nil {
		return "-"
	}
	text, err := json.Marshal(n.Default)
	if err != nil {
		return err.Error()
	}
	return strings.Trim(string(text), `"`)
}

func (n node) bound() string {
	switch {
	case n.Least != "":
		return n.Least + " to " + n.Most
	case n.Minimum != "":
		return n.Minimum.String() + " to " + n.Maximum.String()
	default:
		return "-"
	}
}

func TestSettingsPageListsEveryField(t *testing.T) {
	var root node
	qt.Assert(t, json.Unmarshal(settings.Schema(), &root), qt.IsNil)
	page, err := os.ReadFile("../docs/SETTINGS.md")
	qt.Assert(t, err, qt.IsNil)
	var want, got []string
	for _, f := range fieldsOf(t, "", root) {
		want = append(want, f.row())
	}
	for _, line := range strings.Split(string(page), "\n") {
		if cells := strings.Split(line, " | "); strings.HasPrefix(line, "| `") && len(cells) == 5 {
			got = append(got, strings.Join(cells[:4], " | ")+" |")
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("docs/SETTINGS.md does not list the schema; the rows must be:\n%s", strings.Join(want, "\n"))
	}
}
