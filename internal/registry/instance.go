package registry

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Health is the state of an instance in the list.
type Health string

// Health values of the discovery protocol.
const (
	HealthUp       Health = "up"
	HealthDraining Health = "draining"
	HealthRemoved  Health = "removed" // used only in changes of the list
)

// Instance is one entry of the endpoint list, as encoded in the discovery protocol.
type Instance struct {
	Host   string  `json:"host"` // the same name at every sidecar
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  *int    `json:"block,omitempty"`
	Health Health  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"` // time of the last start, in milliseconds since 1970; 0: long ago
}

const (
	maxNameLength = 128
	maxInstances  = 4096
	maxShare      = 1e6
	maxBlock      = 1 << 30
	// MaxVersion is the highest version that JSON decoders represent exactly if they store
	// numbers as 64-bit floating point.
	MaxVersion = 1<<53 - 1
)

// CheckName returns an error if name is unsuitable for a path, a log line or a list. The
// error text begins with field.
func CheckName(field, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s is missing", field)
	case len(name) > maxNameLength:
		return fmt.Errorf("%s has %d bytes, %d at most", field, len(name), maxNameLength)
	case strings.ContainsFunc(name, isInvalidInName):
		return fmt.Errorf("%s %q holds more than letters, digits and plain signs", field, name)
	}
	return nil
}

func isInvalidInName(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune("/?#%", r) }

// Check returns a one-line error if the instance may not be registered.
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
	return i.checkValues()
}

// checkValues checks the fields that are neither names nor addresses.
func (i Instance) checkValues() error {
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

// equal compares two instances field by field, following Block.
func (i Instance) equal(j Instance) bool {
	a, b := i.Block, j.Block
	i.Block, j.Block = nil, nil
	return i == j && (a == nil) == (b == nil) && (a == nil || *a == *b)
}
