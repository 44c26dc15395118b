// Package linearizability checks whether histories of reads and writes of records are linearizable:
// the operations can have taken effect one after the other, each at some time between its start and
// its end. Model checkers and tests of real processes use it.
package linearizability

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one write or read of a record, as its caller observed it.
type Operation struct {
	Key        string
	Written    string // the value of a write; empty: the operation is a read
	Read       string // the value that a read returned
	Start, End time.Duration
	Completed  bool // the call returned without an error
}

func (o Operation) isRead() bool { return o.Written == "" }

// pendingReturn is the end of an operation whose outcome is unknown. It is later than the end of
// any other operation of a history.
const pendingReturn = 24 * time.Hour

// keyValue is a value that a record had.
type keyValue struct{ key, value string }

// GroupByKey returns the history of each record. Reads that did not complete are left out. A write
// that did not complete is included if its value was read: it may have taken effect at any time
// since its start.
func GroupByKey(operations []Operation) map[string][]porcupine.Operation {
	wasRead := make(map[keyValue]bool)
	for _, o := range operations {
		if o.isRead() && o.Completed {
			wasRead[keyValue{o.Key, o.Read}] = true
		}
	}
	histories := make(map[string][]porcupine.Operation)
	for i, o := range operations {
		end := o.End
		if !o.Completed {
			if o.isRead() || !wasRead[keyValue{o.Key, o.Written}] {
				continue
			}
			end = pendingReturn
		}
		histories[o.Key] = append(histories[o.Key], porcupine.Operation{
			ClientId: i, Input: o.Written, Call: int64(o.Start), Output: o.Read, Return: int64(end),
		})
	}
	return histories
}

// register is the sequential model of a record, which is empty at first.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return output == state, state
		}
		return true, input
	},
}

// Check checks whether the history of one record is linearizable. After the timeout the result is
// porcupine.Unknown.
func Check(history []porcupine.Operation, timeout time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(register, history, timeout)
}
