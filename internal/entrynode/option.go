package entrynode

// Option changes a node before its start.
type Option func(node *Node)

// WithoutTriage lets requests that wait for room at a target poll for it, in no order, as before there was triage.
func WithoutTriage() Option {
	return func(node *Node) { node.triage = nil }
}
