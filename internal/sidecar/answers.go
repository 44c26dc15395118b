package sidecar

import (
	"hash/maphash"
	"slices"
)

// answerMemory knows whether answers tell requests apart: where none of the last answers was equal
// to one on another connection, an answer that is equal to an earlier one of its own connection is
// that one once more, and belongs to no request.
type answerMemory struct {
	seed    maphash.Seed
	known   map[uint64]int // how often each is in ring
	ring    [answersKept]uint64
	next    int
	differs int // answers since the last that was equal to another connection's
}

const (
	answersKept = 64
	// answersSure is how many answers in a row have to differ before equality means anything.
	answersSure = 8
	// answersOfConn is how many answers of a connection are compared: with their rests they reach
	// back for longer than a second answer is late.
	answersOfConn = 8
)

// recentAnswers are hashes of a connection's last answers; 0 is none.
type recentAnswers struct {
	hashes [answersOfConn]uint64
	next   int
}

func (r *recentAnswers) add(hash uint64) {
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % answersOfConn
}

// hash returns a body's hash; 0 is that of an empty one.
func (m *answerMemory) hash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	if m.known == nil {
		m.seed, m.known = maphash.MakeSeed(), make(map[uint64]int, answersKept)
	}
	return max(1, maphash.Bytes(m.seed, body))
}

// sure says whether equality means anything by now.
func (m *answerMemory) sure() bool { return m.differs >= answersSure }

// note takes an answer in, and says whether it is an earlier one of its connection once more.
func (m *answerMemory) note(hash uint64, of *recentAnswers) (again bool) {
	if hash == 0 {
		return false
	}
	if slices.Contains(of.hashes[:], hash) {
		return m.sure()
	}
	of.add(hash)
	if m.known[hash] > 0 {
		m.differs = 0
	} else {
		m.differs++
	}
	old := m.ring[m.next]
	if m.known[old]--; m.known[old] <= 0 {
		delete(m.known, old)
	}
	m.ring[m.next] = hash
	m.known[hash]++
	m.next = (m.next + 1) % answersKept
	return false
}

// isRepeated says whether an answer is an earlier one of its connection once more.
func (p *pool) isRepeated(c *conn, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.answers.note(p.answers.hash(body), &c.last) {
		return false
	}
	p.count.Repeated++
	p.excessLocked(c)
	return true
}
