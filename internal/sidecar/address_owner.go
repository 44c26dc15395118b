package sidecar

// addressClaim is an entry's claim to its address. At one address there is one process: of several entries with the
// same address all but one are of processes that have gone.
type addressClaim struct {
	bornMS float64 // when the process started, in Unix milliseconds; 0: not known
	order  uint64  // in which the entries were added, or changed their process
}

// supersedes reports whether the claim is of a later process than another.
func (c addressClaim) supersedes(other addressClaim) bool {
	if c.bornMS > 0 && other.bornMS > 0 && c.bornMS != other.bornMS {
		return c.bornMS > other.bornMS
	}
	return c.order > other.order
}

// addressOwners returns, for each address, the claim of the process that is there now.
func addressOwners(endpoints map[string]*endpoint, listed func(e *endpoint) bool) map[string]addressClaim {
	owners := make(map[string]addressClaim, len(endpoints))
	for _, e := range endpoints {
		if !listed(e) {
			continue
		}
		owner, taken := owners[e.entry.Dial]
		if !taken || e.claim().supersedes(owner) {
			owners[e.entry.Dial] = e.claim()
		}
	}
	return owners
}
