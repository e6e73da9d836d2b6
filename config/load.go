package config

import (
	_ "embed" // for Sample
	"os"
)

// maxSettingsBytes is the maximum size of a settings file.
const maxSettingsBytes = 1 << 20

// Sample is a commented settings file that holds the defaults.
//
//go:embed sample.yaml
var Sample string

// Load reads and validates a settings file. Without a path it returns the defaults. Its error
// is a ReadError or FieldErrors.
func Load(path string) (Settings, error) {
	if path == "" {
		return Decode("sample.yaml", []byte(Sample))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{File: path, Cause: err}
	}
	return Decode(path, text)
}

// Decode decodes and validates settings; fields that text doesn't name keep their defaults. Its
// error is a FieldErrors with all errors in text, and name as their file.
func Decode(name string, text []byte) (Settings, error) {
	s := Default()
	d := ParseDocument(name, text, maxSettingsBytes)
	d.Into(&s)
	if len(d.Errors) == 0 {
		validate(d, s)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
