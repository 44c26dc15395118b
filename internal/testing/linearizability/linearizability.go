// Package linearizability checks what callers saw of records: whether their operations can
// have taken effect one after the other, each at a moment between its start and its end.
// Model checkers and tests of real processes use it.
package linearizability

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Operation is one write or read of a record, as its caller saw it.
type Operation struct {
	Key        string
	Written    string // the value that it writes; empty: it is a read
	Read       string // the value that a read returned
	Start, End time.Duration
	Completed  bool // it returned without an error
}

func (o Operation) isRead() bool { return o.Written == "" }

// pendingReturn is the end of an operation whose outcome is unknown. It is later than any
// other of a history.
const pendingReturn = 24 * time.Hour

// keyValue is a value that a record had.
type keyValue struct{ key, value string }

// GroupByKey returns the history of each record. A read that did not complete is left out.
// A write whose outcome is unknown counts where its value was read: it may have taken effect
// at any time since its start.
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

// register is the sequential model: a record that is empty at first.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input == "" {
			return output == state, state
		}
		return true, input
	},
}

// Check checks the history of one record. After the timeout the result is unknown.
func Check(history []porcupine.Operation, timeout time.Duration) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(register, history, timeout)
}
