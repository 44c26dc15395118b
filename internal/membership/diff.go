package membership

import (
	"cmp"
	"slices"
)

// Difference is a member that is present in some views and not in others.
type Difference struct {
	Name         string            `json:"name"`
	Incarnation  uint64            `json:"incarnation"`
	StatusByView map[string]Status `json:"status"` // by the name of the member whose view it is
}

// Diff compares views: it returns the members that count as present in some and not in others.
func Diff(views []ViewResponse) (differences []Difference) {
	type memberID struct {
		name        string
		incarnation uint64
	}
	statuses := make(map[memberID]map[string]Status)
	for _, view := range views {
		for _, member := range view.Members {
			id := memberID{member.Name, member.Incarnation}
			if statuses[id] == nil {
				statuses[id] = make(map[string]Status)
			}
			statuses[id][view.Name] = member.Status
		}
	}
	for id, byView := range statuses {
		present := 0
		for _, view := range views {
			if _, ok := byView[view.Name]; !ok {
				byView[view.Name] = StatusUnknown
			}
			if byView[view.Name].CountsAsPresent() {
				present++
			}
		}
		if present != 0 && present != len(byView) {
			differences = append(differences, Difference{id.name, id.incarnation, byView})
		}
	}
	slices.SortFunc(differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return differences
}
