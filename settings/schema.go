package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaJSON []byte

// schemaName is the name under which the schema is compiled.
const schemaName = "settings.json"

var (
	// schemaTree is the schema as generic JSON.
	schemaTree = mustParse(schemaJSON)
	schema     = mustCompile()
	// defaultsJSON holds the defaults of all fields as one document.
	defaultsJSON = mustMarshal(defaultsOf(schemaTree))
	defaults     = mustDefaults()
)

// Schema returns the JSON Schema of the settings.
func Schema() []byte { return bytes.Clone(schemaJSON) }

func mustParse(data []byte) map[string]any {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	return value.(map[string]any)
}

func mustCompile() *jsonschema.Schema {
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(schemaName, schemaTree); err != nil {
		panic(err)
	}
	return compiler.MustCompile(schemaName)
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func mustDefaults() Settings {
	var s Settings
	if err := json.Unmarshal(defaultsJSON, &s); err != nil {
		panic(err)
	}
	return s
}

// defaultsOf collects the defaults of an object's properties.
func defaultsOf(node map[string]any) map[string]any {
	found := map[string]any{}
	properties, _ := node["properties"].(map[string]any)
	for name, p := range properties {
		property := p.(map[string]any)
		if value, ok := property["default"]; ok {
			found[name] = value
		}
		if inner := defaultsOf(property); len(inner) > 0 {
			found[name] = inner
		}
	}
	return found
}

// schemaDescription returns what the schema at a location says that it wants.
func schemaDescription(location string) string {
	_, pointer, _ := strings.Cut(location, "#/")
	var node any = schemaTree
	for _, name := range strings.Split(pointer, "/") {
		object, ok := node.(map[string]any)
		if !ok {
			return ""
		}
		node = object[name]
	}
	object, _ := node.(map[string]any)
	text, _ := object["description"].(string)
	return text
}
