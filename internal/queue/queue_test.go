package queue

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// Two lists that share nodes always have the same contents as two slices used as a model.
func TestListsAgreeWithSlices(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 0))
	var lists [2]List[int]
	var want [2][]int
	nodes := make([]Node[int], 20)
	for i := range nodes {
		nodes[i].Value = i
	}
	for range 5000 {
		i, to := rng.IntN(len(nodes)), rng.IntN(2)
		for w := range want {
			want[w] = slices.DeleteFunc(want[w], func(v int) bool { return v == i })
		}
		if rng.IntN(3) == 0 {
			nodes[i].Remove()
		} else {
			lists[to].PushBack(&nodes[i])
			want[to] = append(want[to], i)
		}
		for w := range want {
			var got []int
			for n := lists[w].Front(); n != nil; n = n.Next() {
				if !n.Linked() {
					t.Fatal("a node in a list is not linked")
				}
				got = append(got, n.Value)
			}
			if !slices.Equal(got, want[w]) || lists[w].Len() != len(got) {
				t.Fatalf("list %d: got %v (length %d), want %v", w, got, lists[w].Len(), want[w])
			}
			if b := lists[w].Back(); (b == nil) != (len(got) == 0) || (b != nil && b.Value != got[len(got)-1]) {
				t.Fatalf("list %d: Back does not return the last node of %v", w, got)
			}
		}
	}
}
