package modelcheck

import (
	"hash/maphash"
	"slices"
)

// node is a reached state and the step that led to it.
type node[W any] struct {
	world  W
	parent *node[W]
	step   Step[W]
}

// path returns the names of the steps from the initial state to the node.
func (n *node[W]) path() (steps []string) {
	for ; n.parent != nil; n = n.parent {
		steps = append(steps, n.step.String())
	}
	slices.Reverse(steps)
	return steps
}

// stateSet is a set of states. Each is stored as two 64-bit hashes of its key, as a single hash may collide.
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
	_, seen := s.hashes[hash]
	s.hashes[hash] = struct{}{}
	return !seen
}

// Search tries every step from the initial state, breadth first, until it has explored the given
// depth or visited maxStates states. It returns the number of distinct states, the depth that was
// explored completely, and the first violation. visit, if not nil, is called with each state
// that a step leads to, whether it is new or not.
func Search[W World[W]](initial W, depth, maxStates int, visit func(W)) (states, completed int, violation *Violation) {
	visited := newStateSet[W]()
	visited.add(initial)
	layer := []*node[W]{{world: initial}}
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
					return len(visited.hashes), completed, &Violation{err, append(n.path(), step.String())}
				}
				if visited.add(w) {
					next = append(next, &node[W]{w, n, step})
				}
				if len(visited.hashes) >= maxStates {
					return len(visited.hashes), completed, nil
				}
			}
			var zero W
			n.world = zero // frees the state: only the path is needed from here on
		}
		layer = next
		completed++
	}
	return len(visited.hashes), completed, nil
}
