package admission

import (
	"math/bits"

	"barleywick/internal/queue"
)

const (
	wordBits = 6 // a word has 1<<wordBits bits
	levels   = 3
	// maxRank is 262,143, the highest count with a list of its own: more than a process has file descriptors.
	maxRank = 1<<(levels*wordBits) - 1
)

// holderRanks ranks clients by their number of connections and finds a client with the most in constant
// time. It has a list for each count and a hierarchical bitmap: level 0 marks the lists that are not
// empty, and each further level marks the non-zero words of the level below.
type holderRanks[T any] struct {
	lists   []*queue.List[*client[T]] // by count
	bitmaps [levels][]uint64
}

// set ranks a client by a count, replacing its previous rank.
func (r *holderRanks[T]) set(c *client[T], count int) {
	r.remove(c)
	count = min(count, maxRank)
	for len(r.lists) <= count {
		r.lists = append(r.lists, new(queue.List[*client[T]]))
	}
	c.rankedAt = count
	r.lists[count].PushBack(&c.rank)
	r.updateBits(count)
}

// remove removes a client from the ranking.
func (r *holderRanks[T]) remove(c *client[T]) {
	if c.rank.Linked() {
		c.rank.Remove()
		r.updateBits(c.rankedAt)
	}
}

// updateBits updates the bits for one list at all levels.
func (r *holderRanks[T]) updateBits(count int) {
	isSet := r.lists[count].Len() > 0
	for i := range r.bitmaps {
		word, bit := count>>wordBits, uint64(1)<<(count&(1<<wordBits-1))
		for len(r.bitmaps[i]) <= word {
			r.bitmaps[i] = append(r.bitmaps[i], 0)
		}
		if isSet {
			r.bitmaps[i][word] |= bit
		} else {
			r.bitmaps[i][word] &^= bit
		}
		isSet, count = r.bitmaps[i][word] != 0, word
	}
}

// largest returns a client with the highest rank, or nil.
func (r *holderRanks[T]) largest() *client[T] {
	word := 0
	for i := len(r.bitmaps) - 1; i >= 0; i-- {
		if word >= len(r.bitmaps[i]) || r.bitmaps[i][word] == 0 {
			return nil
		}
		word = word<<wordBits | (bits.Len64(r.bitmaps[i][word]) - 1)
	}
	return r.lists[word].Front().Value
}
