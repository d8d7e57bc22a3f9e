package config

import (
	"reflect"
	"strings"
)

// yamlName gives the validator the names that operators write.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
