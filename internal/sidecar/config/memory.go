package config

import "barleywick/internal/admission"

const (
	megabyte = 1 << 20
	// programMemoryMB is what the program's text, the C library and the runtime take outside the heap.
	programMemoryMB = 12
	// unlimitedMemoryMB stands for the memory of a process without a limit.
	unlimitedMemoryMB = 256

	// The parts of the memory that requests may take, as divisors of the whole.
	headsDivisor     = 16 // heads that are not complete
	bodiesDivisor    = 8  // request bodies
	partialDivisor   = 16 // of the bodies, those that are not complete
	responsesDivisor = 8  // responses of booking servers
	oversizeDivisor  = 32 // of the responses, those that are longer than the protocol allows
	requestIDDivisor = 64 // ids of requests that may have run
	// requestIDBytes is what a remembered id takes: see policy.RequestIDs.
	requestIDBytes = 48
)

// MemoryLimits are the parts of the process's memory that its users may take.
type MemoryLimits struct {
	Runtime    int64 // of the Go runtime as a whole, in bytes; 0: no limit
	Requests   admission.ByteLimits
	Responses  int64 // bytes of responses that were read and not yet written to their clients
	Oversize   int64 // of Responses, those beyond the protocol's length
	RequestIDs int   // number of remembered ids
}

// Memory derives the limits on memory from the process's limit.
func (l *Limits) Memory() MemoryLimits {
	total := l.MemoryMB * megabyte
	m := MemoryLimits{Runtime: min(total/4*3, max(total/2, total-programMemoryMB*megabyte))}
	if total == 0 {
		total = unlimitedMemoryMB * megabyte
	}
	m.Requests = admission.ByteLimits{Heads: total / headsDivisor, Bodies: total / bodiesDivisor, Partial: total / partialDivisor}
	m.Responses, m.Oversize = total/responsesDivisor, total/oversizeDivisor
	m.RequestIDs = int(total / requestIDDivisor / requestIDBytes)
	return m
}
