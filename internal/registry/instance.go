package registry

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Health is what the list says of an instance.
type Health string

// The health values of the protocol.
const (
	HealthUp       Health = "up"
	HealthDraining Health = "draining"
	HealthRemoved  Health = "removed" // only in changes of the list
)

// Instance is one entry of the endpoint list, in the protocol's form.
type Instance struct {
	Host   string  `json:"host"` // the same name at every sidecar
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  *int    `json:"block,omitempty"`
	Health Health  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"` // the last start, in milliseconds since 1970; 0: long ago
}

const (
	maxNameLength = 128
	maxInstances  = 4096
	maxShare      = 1e6
	maxBlock      = 1 << 30
	// MaxVersion is the highest version that JSON readers can represent exactly if they keep
	// numbers as floating point.
	MaxVersion = 1<<53 - 1
)

// CheckName returns an error unless name can stand in a path, a log line and a list. The
// error begins with what.
func CheckName(what, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s is missing", what)
	case len(name) > maxNameLength:
		return fmt.Errorf("%s has %d bytes, %d at most", what, len(name), maxNameLength)
	case strings.ContainsFunc(name, notInNames):
		return fmt.Errorf("%s %q holds more than letters, digits and plain signs", what, name)
	}
	return nil
}

func notInNames(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune("/?#%", r) }

// Check returns an error that says in one line what is wrong with an instance that is to
// be registered.
func (i Instance) Check() error {
	if err := CheckName("host", i.Host); err != nil {
		return err
	}
	if err := checkDial(i.Dial); err != nil {
		return err
	}
	if err := CheckName("site", i.Site); err != nil {
		return err
	}
	if i.Class != "" {
		if err := CheckName("class", i.Class); err != nil {
			return err
		}
	}
	return i.checkFigures()
}

// checkFigures checks the fields that are no names.
func (i Instance) checkFigures() error {
	switch {
	case i.Block != nil && (*i.Block < 0 || *i.Block > maxBlock):
		return fmt.Errorf("block is %d, it must lie between 0 and %d", *i.Block, maxBlock)
	case i.Health != HealthUp && i.Health != HealthDraining:
		return fmt.Errorf("health is %.32q, it must be up or draining", i.Health)
	case !(i.Share > 0) || i.Share > maxShare || math.IsNaN(i.Share):
		return fmt.Errorf("share is %v, it must be above 0 and at most %v", i.Share, float64(maxShare))
	case i.BornMS < 0 || i.BornMS > MaxVersion:
		return fmt.Errorf("born_ms is %d, it must be a time after 1970", i.BornMS)
	}
	return nil
}

func checkDial(dial string) error {
	addr, err := netip.ParseAddrPort(dial)
	switch {
	case err != nil:
		return fmt.Errorf("dial %.64q is not an address with a port", dial)
	case !addr.Addr().Unmap().IsLoopback():
		return fmt.Errorf("dial %s is not a loopback address", dial)
	case addr.Port() == 0:
		return fmt.Errorf("dial %s has no port", dial)
	}
	return nil
}

// equal compares two instances by their contents.
func (i Instance) equal(j Instance) bool {
	a, b := i.Block, j.Block
	i.Block, j.Block = nil, nil
	return i == j && (a == nil) == (b == nil) && (a == nil || *a == *b)
}
