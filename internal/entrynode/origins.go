package entrynode

import (
	"time"

	"mimosatide.example/mimosatide/internal/origin"
	"mimosatide.example/mimosatide/platform"
)

const (
	// freshTargets is the age up to which this node's copy of the targets shows whether another
	// version of their software is in use.
	freshTargets = 2 * time.Second
	// takeUpMargin is how much longer than its route's timeout a stream may be taken up: the first
	// request of it may have waited on its way.
	takeUpMargin = 2 * time.Second
)

// newOrigins returns the tracker of the versions that began the streams of this node's callers.
func newOrigins(node *Node) *origin.Tracker {
	return origin.New(origin.Settings{
		Present: func(service string) []string { return node.targets.View().Software(service) },
		Services: func() []string {
			if deployment := node.deployment.Load(); deployment != nil {
				return deployment.ResumableServices()
			}
			return nil
		},
		Lifetime: func() time.Duration {
			if deployment := node.deployment.Load(); deployment != nil {
				return deployment.LongestStream() + takeUpMargin
			}
			return takeUpMargin
		},
		Fresh: func() bool {
			return bootClock{}.Now()-node.followers[platform.TargetTable].State().ConfirmedAt < freshTargets
		},
		Rank:            node.fleet.rank,
		Hosts:           func() int { return len(node.fleet.addresses()) + 1 },
		WritesPerSecond: node.settings.Store.WritesPerSecond,
		Era:             node.store.Era,
		FirstStart:      node.settings.FirstStart,
	}, node.store.Table(softwareTable), node.store.Table(streamTable), node.log)
}
