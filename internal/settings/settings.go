// Package settings reads the settings of an instance, either in the simulator's format (path=value lines)
// or in the sidecar's (JSON), and converts them to the configuration of package policy.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	maxDuration  = 1 << 62 // nanoseconds; half the range, so that sums don't overflow
	nanosInMilli = 1e6
	// maxCount is far above the length of any real list. It guards against allocating for a corrupt count.
	maxCount = 1 << 16
	// typicalValues is the initial capacity of the map of values.
	typicalValues = 128
)

// DurationFromMillis converts milliseconds to a duration. Values out of range are clamped to ±maxDuration,
// and NaN becomes 0.
func DurationFromMillis(ms float64) time.Duration {
	ns := math.Round(ms * nanosInMilli)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns > maxDuration:
		return maxDuration
	case ns < -maxDuration:
		return -maxDuration
	}
	return time.Duration(ns)
}

// Settings holds the settings of an instance. The path of a value consists of the keys and indexes that
// lead to it, joined by dots.
type Settings struct {
	values map[string]string
	err    error // about the first invalid value
}

func newSettings() *Settings {
	return &Settings{values: make(map[string]string, typicalValues)}
}

// ParseLines reads path=value lines. Unknown paths are kept but have no effect.
func ParseLines(info []byte) (*Settings, error) {
	s := newSettings()
	for n, line := range bytes.Split(info, []byte{'\n'}) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: no '=' in %.60q", n+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// ParseJSON reads the same settings from a JSON object. A list of plain values is joined by commas. The
// length of a list of objects is stored under the list's path plus .count. Nulls are ignored.
func ParseJSON(text []byte) (*Settings, error) {
	var root map[string]any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber() // keeps the notation of each number
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: unexpected data after the JSON object")
	}
	s := newSettings()
	for key, v := range root {
		s.flatten(key, v)
	}
	return s, nil
}

// Text returns the settings in the format of ParseLines, sorted by path. Spaces inside a value become
// underscores, and commas inside a value are not distinguished from separators.
func (s *Settings) Text() []byte {
	var out bytes.Buffer
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		fmt.Fprintf(&out, "%s=%s\n", key, strings.ReplaceAll(s.values[key], " ", "_"))
	}
	return out.Bytes()
}

// flatten stores a JSON value and the values nested in it under their paths.
func (s *Settings) flatten(path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for key, inner := range value {
			s.flatten(path+"."+key, inner)
		}
	case []any:
		s.flattenList(path, value)
	default:
		s.values[path] = fmt.Sprint(value)
	}
}

func (s *Settings) flattenList(path string, list []any) {
	hasObjects := false
	plain := make([]string, 0, len(list))
	for i, inner := range list {
		if _, ok := inner.(map[string]any); ok {
			hasObjects = true
			s.flatten(path+"."+strconv.Itoa(i), inner)
			continue
		}
		plain = append(plain, fmt.Sprint(inner))
	}
	if hasObjects || len(list) == 0 {
		s.values[path+".count"] = strconv.Itoa(len(list))
	}
	s.values[path] = strings.Join(plain, ",")
}

// Names returns the names of the objects in a list, in order.
func (s *Settings) Names(list string) []string {
	names := make([]string, s.count(list+".count"))
	for i := range names {
		names[i] = s.text(fmt.Sprintf("%s.%d.name", list, i))
	}
	return names
}

// Values returns the values of a list of plain values.
func (s *Settings) Values(list string) []string {
	if s.text(list) == "" {
		return nil
	}
	return strings.Split(s.text(list), ",")
}

// Duration returns a value that is given in milliseconds, or fallback if it is missing or not above 0.
func (s *Settings) Duration(key string, fallback time.Duration) time.Duration {
	if d := DurationFromMillis(s.number(key)); d > 0 {
		return d
	}
	return fallback
}

// fail records an error about an invalid value, unless one is recorded already.
func (s *Settings) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("settings: "+format, args...)
	}
}

func (s *Settings) text(key string) string { return s.values[key] }

// flag returns a boolean; a missing one is false.
func (s *Settings) flag(key string) bool {
	v := s.values[key]
	if v != "" && v != "true" && v != "false" {
		s.fail("%s is %.40q, want true or false", key, v)
	}
	return v == "true"
}

// number returns a number; a missing one is 0.
func (s *Settings) number(key string) float64 {
	v := s.values[key]
	if v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fail("%s: %w", key, err)
	}
	return f
}

// nonNegative returns a finite number that is not negative; a missing one is 0.
func (s *Settings) nonNegative(key string) float64 {
	f := s.number(key)
	if !(f >= 0) || math.IsInf(f, 1) {
		s.fail("%s is %v, want a finite number of at least 0", key, f)
	}
	return f
}

// millis returns a non-negative duration that is given in milliseconds; a missing one is 0.
func (s *Settings) millis(key string) time.Duration { return DurationFromMillis(s.nonNegative(key)) }

// count returns a whole number from 0 to maxCount; a missing one is 0.
func (s *Settings) count(key string) int {
	n := s.number(key)
	if n < 0 || n > maxCount || n != float64(int(n)) {
		s.fail("%s is %v, want a whole number from 0 to 65536", key, n)
		return 0
	}
	return int(n)
}
