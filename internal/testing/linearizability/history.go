// Package linearizability holds what callers saw of records against a register that does one call
// after the other (linearizability), for the proofs of explorers and of real processes.
package linearizability

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one that writes a record, or reads it.
type Operation struct {
	Key, Written, Read string // Value: what is written; empty: it reads Got
	Start, End         time.Duration
	Completed          bool // it was answered, and well
}

// pendingReturn is later than any call of a history.
const pendingReturn = 24 * time.Hour

// GroupByKey are the histories of the records. A read that was not answered says nothing; a
// write that nobody knows the end of counts if somebody has read it, and may have come at
// any time since.
func GroupByKey(calls []Operation) map[string][]porcupine.Operation {
	read := make(map[[2]string]bool)
	for _, c := range calls {
		if c.Written == "" && c.Completed {
			read[[2]string{c.Key, c.Read}] = true
		}
	}
	all := make(map[string][]porcupine.Operation)
	for i, c := range calls {
		o := porcupine.Operation{ClientId: i, Input: c.Written, Call: int64(c.Start), Output: c.Read, Return: int64(c.End)}
		if !c.Completed {
			if c.Written == "" || !read[[2]string{c.Key, c.Written}] {
				continue
			}
			o.Return = int64(pendingReturn)
		}
		all[c.Key] = append(all[c.Key], o)
	}
	return all
}

// Check judges the history of one record, for a time at most.
func Check(of []porcupine.Operation, within time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			if in == "" {
				return out == state, state
			}
			return true, in
		},
	}, of, within)
}
