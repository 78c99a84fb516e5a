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
	// defaultsJSON holds the defaults of all fields as one JSON document.
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

// defaultsOf returns the defaults of the properties of an object's schema,
// including nested ones.
func defaultsOf(node map[string]any) map[string]any {
	values := map[string]any{}
	properties, _ := node["properties"].(map[string]any)
	for name, p := range properties {
		property := p.(map[string]any)
		if value, ok := property["default"]; ok {
			values[name] = value
		}
		if inner := defaultsOf(property); len(inner) > 0 {
			values[name] = inner
		}
	}
	return values
}

// schemaDescription returns the description in the schema at a location, such as
// that of a pattern, or "".
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
