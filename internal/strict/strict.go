// Package strict reads files that people write: a key that is not known, or a value
// of the wrong type, is an error of one line that names line and field.
package strict

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TOML reads text into v, which may hold defaults.
func TOML(text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
		row, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: there is no field %s", row, strings.Join(unknown.Errors[0].Key(), "."))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, _ := wrong.Position()
		where := ""
		if key := wrong.Key(); len(key) > 0 {
			where = strings.Join(key, ".") + ": "
		}
		return fmt.Errorf("line %d: %s%s", row, where, oneLine(strings.TrimPrefix(wrong.Error(), "toml: ")))
	}
	return errors.New(oneLine(err.Error()))
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }
