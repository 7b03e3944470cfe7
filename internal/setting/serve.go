package setting

import (
	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/node"
)

// Serve is all settings of a node.
type Serve struct {
	Listen `group:"Addresses"`
	Place  `group:"Place"`
	Fleet  `group:"Fleet"`
	Work   `group:"Work"`
}

// Check returns every fault of the settings.
func (serve Serve) Check() []Fault {
	found := &checks{}
	serve.Listen.check(found)
	serve.Place.check(found)
	serve.Fleet.check(found)
	serve.Work.check(found)
	return found.faults
}

// Node returns the settings as a node takes them.
func (serve Serve) Node() node.Settings {
	return node.Settings{
		Member:         mimosatide.Member{Address: serve.Peers, Host: serve.Host, Zone: serve.Zone},
		PeerListen:     serve.Peers,
		CallerListen:   serve.Callers,
		OperatorListen: serve.Operators,
		Platform:       serve.Platform,
		PlatformLimit:  serve.PlatformLimit,
		PeerSecret:     []byte(serve.PeerSecret),
		OperatorKey:    serve.OperatorKey,
		DrainLimit:     serve.DrainLimit,
		Freshness:      serve.Freshness,
		Term:           serve.Term,
		HostLag:        serve.HostLag,
		ProgressLimit:  serve.ProgressLimit,
		MaxBody:        serve.MaxBody,
		MaxHeader:      serve.MaxHeader,
		MaxQueued:      serve.MaxQueued,
		KeepFactor:     serve.KeepFactor,
		MinKeep:        serve.MinKeep,
		PoolSize:       serve.Workers,
	}
}
