package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/quantity"
)

// source is one settings file.
type source struct {
	name string
	data []byte
	// tree is the content as generic JSON.
	tree any
}

// sources holds the base file and the overlays, in the order in which they are
// merged.
type sources []source

// Load reads the base file, merges the overlays into it in order and checks the
// result. If the settings are not valid, the error is a *FaultsError with every
// fault; if a file is not a JSON object, it has only the faults of that kind.
func Load(base string, overlays ...string) (Settings, error) {
	var files sources
	var faults []Fault
	for _, name := range append([]string{base}, overlays...) {
		data, err := os.ReadFile(name)
		if err != nil {
			return Settings{}, errors.Annotate(err, "settings")
		}
		s, fault := newSource(name, data)
		if fault.Reason != "" {
			faults = append(faults, fault)
			continue
		}
		files = append(files, s)
	}
	if len(faults) > 0 {
		return Settings{}, &FaultsError{Faults: faults}
	}
	return files.merge()
}

// Parse decodes and checks settings that consist of one document.
func Parse(data []byte) (Settings, error) {
	s, fault := newSource("settings", data)
	if fault.Reason != "" {
		return Settings{}, &FaultsError{Faults: []Fault{fault}}
	}
	return sources{s}.merge()
}

// newSource decodes one file. The fault has a reason if the file is not a JSON
// object.
func newSource(name string, data []byte) (source, Fault) {
	s := source{name: name, data: data}
	if err := quantity.DecodeStrict(data, &s.tree); err != nil {
		return source{}, Fault{File: name, Reason: fmt.Sprintf("The JSON is not valid%s: %v.", lineSuffix(data, err), err)}
	}
	if _, ok := s.tree.(map[string]any); !ok {
		return source{}, Fault{File: name, Reason: "The file must hold a JSON object."}
	}
	return s, Fault{}
}

// lineSuffix returns the line of a JSON syntax error as text that follows a
// message, or "" for other errors.
func lineSuffix(data []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return ""
	}
	return fmt.Sprintf(" in line %d", 1+bytes.Count(data[:min(int(syntax.Offset), len(data))], []byte("\n")))
}

// merge merges the defaults and the files, in this order, and checks and decodes
// the result.
func (f sources) merge() (Settings, error) {
	merged := f[0].data
	for _, s := range f[1:] {
		var err error
		merged, err = jsonpatch.MergePatch(merged, s.data)
		if err != nil {
			return Settings{}, errors.Annotatef(err, "settings: overlay %s", s.name)
		}
	}
	merged, err := jsonpatch.MergePatch(defaultsJSON, merged)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	faults, err := f.check(merged)
	if err != nil {
		return Settings{}, err
	}
	if len(faults) > 0 {
		return Settings{}, &FaultsError{Faults: faults}
	}
	var s Settings
	if err := quantity.DecodeStrict(merged, &s); err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	return s, nil
}

// newFault returns a fault of a field, attributed to its originFile.
func (f sources) newFault(path []string, format string, args ...any) fieldFault {
	return fieldFault{
		fault: Fault{File: f.originFile(path), Path: strings.Join(path, "."), Reason: fmt.Sprintf(format, args...)},
		path:  path,
	}
}

// originFile returns the last file that sets a field or, if none does, the last
// one that sets its nearest enclosing field. Without any, it is the base file.
func (f sources) originFile(path []string) string {
	for depth := len(path); depth > 0; depth-- {
		for i := len(f) - 1; i >= 0; i-- {
			if hasField(f[i].tree, path[:depth]) {
				return f[i].name
			}
		}
	}
	return f[0].name
}

// hasField reports whether generic JSON has a field, even if it is null.
func hasField(tree any, path []string) bool {
	for _, name := range path {
		object, ok := tree.(map[string]any)
		if !ok {
			return false
		}
		if tree, ok = object[name]; !ok {
			return false
		}
	}
	return true
}
