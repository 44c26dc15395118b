package rollout

// ActivePolicy is what a sidecar acts by.
type ActivePolicy struct {
	Epoch        uint64    `json:"Epoch"` // of the policy in force as far as it knows; 0: its own configuration
	Document     *Document `json:"Doc"`   // that policy; nil with epoch 0
	JointChange  uint64    `json:"Joint"` // the change with which it acts by the stricter of both; 0: none
	NextDocument *Document `json:"Next"`  // what that change would put in force
}

// Effective is the one document to act by; nil: its own configuration counts alone.
func (a ActivePolicy) Effective() *Document {
	switch {
	case a.JointChange == 0:
		return a.Document
	case a.Document == nil:
		return a.NextDocument
	}
	return Stricter(a.Document, a.NextDocument)
}
