package registry

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestInvalidInstances(t *testing.T) {
	for name, change := range map[string]func(i *Instance){
		"no host":         func(i *Instance) { i.Host = "" },
		"a long host":     func(i *Instance) { i.Host = strings.Repeat("x", maxNameLength+1) },
		"a line break":    func(i *Instance) { i.Host = "a\nb" },
		"a path":          func(i *Instance) { i.Host = "a/../b" },
		"no port":         func(i *Instance) { i.Dial = "127.0.0.1" },
		"port 0":          func(i *Instance) { i.Dial = "127.0.0.1:0" },
		"another network": func(i *Instance) { i.Dial = "10.0.0.1:80" },
		"a name":          func(i *Instance) { i.Dial = "localhost:80" },
		"no site":         func(i *Instance) { i.Site = "" },
		"removed":         func(i *Instance) { i.Health = HealthRemoved },
		"no health":       func(i *Instance) { i.Health = "" },
		"no share":        func(i *Instance) { i.Share = 0 },
		"no number":       func(i *Instance) { i.Share = math.NaN() },
		"endless":         func(i *Instance) { i.Share = math.Inf(1) },
		"before 1970":     func(i *Instance) { i.BornMS = -1 },
		"a negative cell": func(i *Instance) { n := -1; i.Block = &n },
	} {
		i := newInstance("s")
		change(i)
		s := newFoundedState(t)
		seq := s.Seq()
		if r := s.Apply(Command{Op: OpRegister, Instance: i}); !errors.Is(r.Err, ErrInvalid) || strings.Contains(r.Err.Error(), "\n") || s.Seq() != seq {
			t.Errorf("%s: got error %v, want ErrInvalid in one line", name, r.Err)
		}
	}
	if err := newInstance("s-1").Check(); err != nil {
		t.Error(err)
	}
}
