package config

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed settings.schema.json
var settingsSchema []byte

// settingsSchemaName is the URI of the schema. It is absolute because a relative one would be resolved
// against the working directory, which may no longer exist.
const settingsSchemaName = "urn:pipitgap:settings"

// validateSchema validates a settings file against the schema. The error contains the key and the reason.
// empty reports whether the file is empty or contains only comments.
func validateSchema(text []byte) (empty bool, err error) {
	document, err := jsonDocument(text)
	if err != nil || document == nil {
		return document == nil, err
	}
	return false, validate(document)
}

// validate validates a document against the schema.
func validate(document any) error {
	schema, err := compileSettingsSchema()
	if err != nil {
		return err
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if errors.As(err, &invalid) {
		return schemaError(invalid)
	}
	return err
}

// jsonDocument converts a YAML document to the types of a decoded JSON document, since the schema is a JSON
// schema.
func jsonDocument(text []byte) (any, error) {
	var document any
	if err := yaml.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	return jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
}

// compileSettingsSchema compiles the schema, which is embedded in the program.
func compileSettingsSchema() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(settingsSchema))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(settingsSchemaName, document); err != nil {
		return nil, err
	}
	return compiler.Compile(settingsSchemaName)
}

// schemaError returns an error with the first invalid key, at the deepest level of nesting, and the reason.
func schemaError(invalid *jsonschema.ValidationError) error {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	key := strings.Join(invalid.InstanceLocation, ".")
	if key == "" {
		key = "document"
	}
	reason := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return fmt.Errorf("%s: %s", key, reason)
}
