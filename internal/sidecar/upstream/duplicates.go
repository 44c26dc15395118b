package upstream

import (
	"hash/maphash"
	"slices"
)

const (
	// comparedResponses is how many earlier responses on all connections a new one is compared with.
	comparedResponses = 64
	// distinctRunNeeded is how many consecutive responses must differ from those on other connections
	// before equal responses on one connection count as duplicates.
	distinctRunNeeded = 8
	// responsesPerConn is how many earlier responses on its own connection a new one is compared with.
	// As each is followed by a quarantine, they span more time than the delay of a duplicate response.
	responsesPerConn = 8
)

// duplicateDetector finds responses that a server sent twice. As long as none of the last responses was
// equal to one on another connection, responses are assumed to be unique to their requests. Then a
// response that equals an earlier one on its own connection is a duplicate of that, not the response to
// the current request.
type duplicateDetector struct {
	seed        maphash.Seed
	ring        [comparedResponses]uint64 // hashes of the last responses
	next        int                       // index in ring
	occurrences map[uint64]int            // of each hash in ring
	distinctRun int                       // consecutive responses that differed from those on other connections
}

// recentResponses holds the hashes of a connection's last responses; 0 marks an unused entry.
type recentResponses struct {
	hashes [responsesPerConn]uint64
	next   int
}

func (r *recentResponses) add(hash uint64) {
	r.hashes[r.next] = hash
	r.next = (r.next + 1) % responsesPerConn
}

// hash returns the hash of a body. It is 0 only for an empty body.
func (d *duplicateDetector) hash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	if d.occurrences == nil {
		d.seed, d.occurrences = maphash.MakeSeed(), make(map[uint64]int, comparedResponses)
	}
	return max(1, maphash.Bytes(d.seed, body))
}

// canDetect reports whether an equal response counts as a duplicate.
func (d *duplicateDetector) canDetect() bool { return d.distinctRun >= distinctRunNeeded }

// observe records a response and reports whether it is a duplicate on its connection.
func (d *duplicateDetector) observe(hash uint64, recent *recentResponses) (duplicate bool) {
	if hash == 0 {
		return false
	}
	if slices.Contains(recent.hashes[:], hash) {
		return d.canDetect()
	}
	recent.add(hash)
	if d.occurrences[hash] > 0 {
		d.distinctRun = 0
	} else {
		d.distinctRun++
	}
	oldest := d.ring[d.next]
	if d.occurrences[oldest]--; d.occurrences[oldest] <= 0 {
		delete(d.occurrences, oldest)
	}
	d.ring[d.next] = hash
	d.occurrences[hash]++
	d.next = (d.next + 1) % comparedResponses
	return false
}

// isDuplicate records a response and reports whether it is a duplicate that must be dropped.
func (p *Pool) isDuplicate(c *Conn, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.duplicates.observe(p.duplicates.hash(body), &c.recent) {
		return false
	}
	p.count.DuplicateResponses++
	p.recordSurplusLocked(c)
	return true
}
