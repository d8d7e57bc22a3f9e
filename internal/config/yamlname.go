package config

import (
	"reflect"
	"strings"
)

// yamlName returns a field's name in YAML, which the validator uses in messages.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
