// Package configfile decodes configuration files strictly: an unknown key or a value of the wrong type is
// a one-line error with the line number and the field.
package configfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// DecodeTOML decodes text into v, which may contain defaults.
func DecodeTOML(text []byte, v any) error {
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

// WithLine adds the line number to an error that begins with a field's path, such as
// 'limits.sockets is 3' or 'classes[1].name is missing'. If the text does not contain the field,
// the line is that of the innermost enclosing table; if there is none, the error is unchanged.
func WithLine(text []byte, err error) error {
	path, _, _ := strings.Cut(strings.TrimRight(err.Error(), " "), " ")
	path = strings.TrimRight(path, ":,")
	lines := fieldLines(text)
	for path != "" {
		if line, ok := lines[path]; ok {
			return fmt.Errorf("line %d: %w", line, err)
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return err
}

// fieldLines returns the line number of each field and table of a valid TOML text, by path.
func fieldLines(text []byte) map[string]int {
	lines := make(map[string]int)
	counts := make(map[string]int) // number of elements seen of each array of tables
	var parser unstable.Parser
	parser.Reset(text)
	prefix := ""
	for parser.NextExpression() {
		e := parser.Expression()
		var names []string
		line := 0
		for keys := e.Key(); keys.Next(); {
			names = append(names, string(keys.Node().Data))
			if line == 0 {
				line = parser.Shape(keys.Node().Raw).Start.Line
			}
		}
		path := strings.Join(names, ".")
		switch e.Kind {
		case unstable.Table:
			prefix = path + "."
		case unstable.ArrayTable:
			path = fmt.Sprintf("%s[%d]", path, counts[path])
			counts[strings.Join(names, ".")]++
			prefix = path + "."
		case unstable.KeyValue:
			path = prefix + path
		}
		lines[path] = line
	}
	return lines
}
