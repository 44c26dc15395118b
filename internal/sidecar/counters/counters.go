// Package counters reads structs of counters. The name of a counter in the log and in metric labels is
// the json tag of its field, so the Go field can be renamed.
package counters

import (
	"fmt"
	"reflect"
	"strings"
)

// Values returns the counters of a struct, keyed by name.
func Values(counters any) map[string]float64 {
	values := make(map[string]float64)
	each(counters, func(name string, field reflect.Value) {
		if field.CanUint() {
			values[name] = float64(field.Uint())
		} else {
			values[name] = float64(field.Int())
		}
	})
	return values
}

// Format formats a struct of counters for the text log. The format is that of fmt's %+v, with the
// counter names in place of the field names.
func Format(counters any) string {
	var parts []string
	each(counters, func(name string, field reflect.Value) {
		parts = append(parts, fmt.Sprintf("%s:%v", name, field))
	})
	return "{" + strings.Join(parts, " ") + "}"
}

// each calls visit for each field in declaration order.
func each(counters any, visit func(name string, field reflect.Value)) {
	v := reflect.ValueOf(counters)
	for i := range v.NumField() {
		visit(name(v.Type().Field(i)), v.Field(i))
	}
}

func name(f reflect.StructField) string {
	tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if tag == "" {
		return f.Name
	}
	return tag
}
