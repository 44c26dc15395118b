package sidecar

import "hash/maphash"

// answerMemory knows whether answers tell requests apart: where none of the last answers was equal
// to one on another connection, an answer that is equal to the one before it on its connection is
// that one once more, and belongs to no request.
type answerMemory struct {
	seed  maphash.Seed
	known map[uint64]int // how often each is in ring
	ring  [answersKept]uint64
	next  int
	seen  int // answers since the last that was equal to another connection's
}

const (
	answersKept = 64
	// answersSure is how many answers in a row have to differ before equality means anything.
	answersSure = 32
)

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

// note takes an answer in whose connection had another one before, and says whether it is the one
// before once more.
func (m *answerMemory) note(now, before uint64) (again bool) {
	if now == 0 {
		return false
	}
	if now == before {
		return m.seen >= answersSure
	}
	if m.known[now] > 0 {
		m.seen = 0
	} else {
		m.seen++
	}
	old := m.ring[m.next]
	if m.known[old]--; m.known[old] <= 0 {
		delete(m.known, old)
	}
	m.ring[m.next] = now
	m.known[now]++
	m.next = (m.next + 1) % answersKept
	return false
}

// isRepeated says whether an answer on a connection is the one before it once more.
func (p *pool) isRepeated(c *conn, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hash := p.answers.hash(body)
	again := p.answers.note(hash, c.last)
	c.last = hash
	if again {
		p.count.Repeated++
		p.excessLocked(c)
	}
	return again
}
