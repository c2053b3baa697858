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

// settingsSchemaName is the name under which the schema refers to itself. It is absolute: a
// relative one would be looked up from the working folder, which may have gone.
const settingsSchemaName = "urn:pipitgap:settings"

// validateSchema compares a settings file with the schema. The error names the key and the
// reason. It tells as well whether the file holds nothing but comments.
func validateSchema(text []byte) (empty bool, err error) {
	document, err := plainDocument(text)
	if err != nil || document == nil {
		return document == nil, err
	}
	return false, validate(document)
}

// validate compares a document with the schema.
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

// plainDocument returns a YAML document in the form that JSON has, since the schema is one of JSON.
func plainDocument(text []byte) (any, error) {
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

// compileSettingsSchema reads the schema, which is part of the program.
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

// schemaError names the first key that doesn't fit, the innermost where keys are nested.
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
