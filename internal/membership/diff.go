package membership

import (
	"cmp"
	"slices"
)

// Difference is a member of which views differ.
type Difference struct {
	Name         string            `json:"name"`
	Incarnation  uint64            `json:"incarnation"`
	StatusByView map[string]Status `json:"status"` // by whose view it is
}

// StatusUnknown is a member that a view does not hold.
const StatusUnknown Status = "unknown"

// Diff compares views: who is there for one and not for another.
func Diff(views []ViewResponse) (all []Difference) {
	type id struct {
		name        string
		incarnation uint64
	}
	status := make(map[id]map[string]Status)
	for _, v := range views {
		for _, m := range v.Members {
			k := id{m.Name, m.Incarnation}
			if status[k] == nil {
				status[k] = make(map[string]Status)
			}
			status[k][v.Name] = m.Status
		}
	}
	for k, by := range status {
		here := 0
		for _, v := range views {
			if _, ok := by[v.Name]; !ok {
				by[v.Name] = StatusUnknown
			}
			if by[v.Name].CountsAsPresent() {
				here++
			}
		}
		if here != 0 && here != len(by) {
			all = append(all, Difference{k.name, k.incarnation, by})
		}
	}
	slices.SortFunc(all, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}
