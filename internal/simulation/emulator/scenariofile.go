package emulator

import (
	"fmt"
	"io"
	"os"
	"time"

	"barleywick/internal/configfile"
)

// Duration is a duration that is text in a scenario file: "1.5s", "250ms".
type Duration time.Duration

// UnmarshalText parses a duration in the syntax of time.ParseDuration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration, want the form \"1.5s\" or \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText returns the duration in the form of a scenario file.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) seconds() float64 { return time.Duration(s).Seconds() }

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(ms float64) Duration { return Duration(ms * float64(time.Millisecond)) }

// ReadScenario reads a scenario file: TOML with changes to DefaultScenario. An unknown key, a wrong type or
// a value out of range is an error that names the field, and the line where it is known.
func ReadScenario(r io.Reader) (*Scenario, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("scenario: file is larger than %d bytes", maxFileSize)
	}
	s := DefaultScenario()
	if err := configfile.DecodeTOML(text, s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.Check()
}

// maxFileSize bounds the size of a scenario file, in bytes.
const maxFileSize = 1 << 20

// LoadScenario reads the scenario file at a path.
func LoadScenario(path string) (*Scenario, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	defer f.Close()
	s, err := ReadScenario(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}
