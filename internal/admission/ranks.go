package admission

import (
	"math/bits"

	"barleywick/internal/queue"
)

// holderRanks keeps clients by how many connections they hold and finds one with the
// most in constant time: a list for each count, and a bit for each list that is
// not empty. A second level of bits tells which words of the first are not zero,
// and a third those of the second: 262,144 counts, more than a process has
// descriptors.
type holderRanks[T any] struct {
	lists  []*queue.List[*client[T]]
	levels [3][]uint64
}

const (
	wordBits = 6
	maxRank  = 1<<(3*wordBits) - 1
)

// set ranks a client by a count, wherever it stood before.
func (r *holderRanks[T]) set(c *client[T], count int) {
	r.remove(c)
	count = min(count, maxRank)
	for len(r.lists) <= count { // up to the most that one client ever held
		r.lists = append(r.lists, new(queue.List[*client[T]]))
	}
	c.rankedAt = count
	r.lists[count].PushBack(&c.rank)
	r.updateBits(count)
}

// remove lets a client stand in no rank.
func (r *holderRanks[T]) remove(c *client[T]) {
	if c.rank.Linked() {
		c.rank.Remove()
		r.updateBits(c.rankedAt)
	}
}

// updateBits sets or clears the bits for one list, level by level.
func (r *holderRanks[T]) updateBits(count int) {
	set := r.lists[count].Len() > 0
	for i := range r.levels {
		word, bit := count>>wordBits, uint64(1)<<(count&(1<<wordBits-1))
		for len(r.levels[i]) <= word {
			r.levels[i] = append(r.levels[i], 0)
		}
		if set {
			r.levels[i][word] |= bit
		} else {
			r.levels[i][word] &^= bit
		}
		set, count = r.levels[i][word] != 0, word
	}
}

// largest returns a client of the highest rank, or nil.
func (r *holderRanks[T]) largest() *client[T] {
	word := 0
	for i := len(r.levels) - 1; i >= 0; i-- {
		if word >= len(r.levels[i]) || r.levels[i][word] == 0 {
			return nil
		}
		word = word<<wordBits | (bits.Len64(r.levels[i][word]) - 1)
	}
	return r.lists[word].Front().Value
}
