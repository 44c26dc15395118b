package rollout

// ActivePolicy is the policy that a sidecar applies. A sidecar's policy store keeps it as JSON.
type ActivePolicy struct {
	Epoch        uint64    `json:"Epoch"` // of the policy in force; 0: the sidecar's own configuration
	Document     *Document `json:"Doc"`   // the policy in force; nil if Epoch is 0
	JointChange  uint64    `json:"Joint"` // the change whose policy limits the one in force; 0: none
	NextDocument *Document `json:"Next"`  // the policy of that change
}

// Effective returns the document to apply, or nil if the sidecar applies only its own
// configuration.
func (a ActivePolicy) Effective() *Document {
	switch {
	case a.JointChange == 0:
		return a.Document
	case a.Document == nil:
		return a.NextDocument
	}
	return Stricter(a.Document, a.NextDocument)
}
