package emulator

import (
	"fmt"
	"io"
	"os"
	"time"

	"barleywick/internal/configfile"
)

// Duration is a duration that a scenario file writes as text: "1.5s", "250ms".
type Duration time.Duration

// UnmarshalText reads a duration.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration: write \"1.5s\" or \"250ms\"", text)
	}
	*s = Duration(d)
	return nil
}

// MarshalText writes the duration as a scenario file has it.
func (s Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

func (s Duration) seconds() float64 { return time.Duration(s).Seconds() }

// milliseconds converts a number of milliseconds.
func milliseconds(ms float64) Duration { return Duration(ms * float64(time.Millisecond)) }

// ReadScenario reads a scenario file: TOML that changes DefaultScenario. A key that is not
// known, a wrong type and a figure out of range are errors that name line and field.
func ReadScenario(r io.Reader) (*Scenario, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	if len(text) > maxFileSize {
		return nil, fmt.Errorf("scenario: more than %d bytes", maxFileSize)
	}
	s := DefaultScenario()
	if err := configfile.DecodeTOML(text, s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.Check()
}

// maxFile bounds the size of a scenario file.
const maxFileSize = 1 << 20

// LoadScenario reads a scenario file.
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
