package sidecar

import (
	"hash/maphash"
	"slices"
)

// duplicateDetector knows whether answers tell requests apart: where none of the last answers was equal
// to one on another connection, an answer that is equal to an earlier one of its own connection is
// that one once more, and belongs to no request.
type duplicateDetector struct {
	seed        maphash.Seed
	occurrences map[uint64]int // how often each is in ring
	ring        [responsesKept]uint64
	next        int
	distinctRun int // answers since the last that was equal to another connection's
}

const (
	responsesKept = 64
	// distinctRunNeeded is how many answers in a row have to differ before equality means anything.
	distinctRunNeeded = 8
	// responsesPerConn is how many answers of a connection are compared: with their rests they reach
	// back for longer than a second answer is late.
	responsesPerConn = 8
)

// recentResponses are hashes of a connection's last answers; 0 is none.
type recentResponses struct {
	hashes [responsesPerConn]uint64
	next   int
}

func (r *recentResponses) add(hash uint64) {
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % responsesPerConn
}

// hash returns a body's hash; 0 is that of an empty one.
func (m *duplicateDetector) hash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	if m.occurrences == nil {
		m.seed, m.occurrences = maphash.MakeSeed(), make(map[uint64]int, responsesKept)
	}
	return max(1, maphash.Bytes(m.seed, body))
}

// conclusive says whether equality means anything by now.
func (m *duplicateDetector) conclusive() bool { return m.distinctRun >= distinctRunNeeded }

// observe takes an answer in, and says whether it is an earlier one of its connection once more.
func (m *duplicateDetector) observe(hash uint64, of *recentResponses) (again bool) {
	if hash == 0 {
		return false
	}
	if slices.Contains(of.hashes[:], hash) {
		return m.conclusive()
	}
	of.add(hash)
	if m.occurrences[hash] > 0 {
		m.distinctRun = 0
	} else {
		m.distinctRun++
	}
	old := m.ring[m.next]
	if m.occurrences[old]--; m.occurrences[old] <= 0 {
		delete(m.occurrences, old)
	}
	m.ring[m.next] = hash
	m.occurrences[hash]++
	m.next = (m.next + 1) % responsesKept
	return false
}

// isDuplicate says whether an answer is an earlier one of its connection once more.
func (p *pool) isDuplicate(c *upstreamConn, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.duplicates.observe(p.duplicates.hash(body), &c.recent) {
		return false
	}
	p.count.Repeated++
	p.noteSurplusLocked(c)
	return true
}
