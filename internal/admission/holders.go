package admission

import (
	"math/bits"

	"barleywick/internal/queue"
)

const (
	wordBits = 6 // 1<<wordBits bits are in a word
	levels   = 3
	// maxRank is the highest count that is distinguished: 262,143, more than a process has descriptors.
	maxRank = 1<<(levels*wordBits) - 1
)

// holderRanks ranks clients by how many connections they have, and finds one with the most in
// constant time: it has a list for each count, and a bitmap of the lists that are not empty. Each
// further level is a bitmap of the words of the level below that are not zero.
type holderRanks[T any] struct {
	lists   []*queue.List[*client[T]] // by count
	bitmaps [levels][]uint64
}

// set ranks a client by a count, whatever its rank was before.
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

// remove takes a client out of the ranks.
func (r *holderRanks[T]) remove(c *client[T]) {
	if c.rank.Linked() {
		c.rank.Remove()
		r.updateBits(c.rankedAt)
	}
}

// updateBits sets or clears the bit for one list at each level.
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
