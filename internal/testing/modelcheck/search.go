package modelcheck

import (
	"hash/maphash"
	"slices"
)

// node is a state that was reached, and the step that led to it.
type node[W any] struct {
	world  W
	parent *node[W]
	step   Step[W]
}

// path names the steps from the first state to the node.
func (n *node[W]) path() (steps []string) {
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step.String())
	}
	slices.Reverse(steps)
	return steps
}

// stateSet remembers states by two 64-bit hashes of their keys, as one hash alone may collide.
type stateSet[W World[W]] struct {
	seeds  [2]maphash.Seed
	hashes map[[2]uint64]struct{}
	key    []byte // reused between calls
}

func newStateSet[W World[W]]() *stateSet[W] {
	return &stateSet[W]{
		seeds:  [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		hashes: make(map[[2]uint64]struct{}),
	}
}

// add adds a state and reports whether it is new.
func (s *stateSet[W]) add(w W) bool {
	s.key = w.Key(s.key[:0])
	hash := [2]uint64{maphash.Bytes(s.seeds[0], s.key), maphash.Bytes(s.seeds[1], s.key)}
	_, known := s.hashes[hash]
	s.hashes[hash] = struct{}{}
	return !known
}

// Search tries every step from a state on, breadth first, until it has explored the given
// depth or met maxStates states. It returns how many states there were, the depth that was
// explored completely, and the first violation. visit, if not nil, is called with each state
// that a step led to, new or not.
func Search[W World[W]](first W, depth, maxStates int, visit func(W)) (states, completed int, found *Violation) {
	met := newStateSet[W]()
	met.add(first)
	layer := []*node[W]{{world: first}}
	for completed < depth && len(layer) > 0 {
		var next []*node[W]
		for _, n := range layer {
			for _, step := range n.world.Steps() {
				w := n.world.Clone()
				err := step.Do(w)
				if visit != nil {
					visit(w)
				}
				if err != nil {
					return len(met.hashes), completed, &Violation{err, append(n.path(), step.String())}
				}
				if met.add(w) {
					next = append(next, &node[W]{w, n, step})
				}
				if len(met.hashes) >= maxStates {
					return len(met.hashes), completed, nil
				}
			}
			var none W
			n.world = none // frees the state: from here on only the path is needed
		}
		layer = next
		completed++
	}
	return len(met.hashes), completed, nil
}
