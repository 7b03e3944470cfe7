package setting

import (
	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/node"
)

// Serve holds all settings of a node.
type Serve struct {
	Listen `group:"Addresses"`
	Place  `group:"Place"`
	Fleet  `group:"Fleet"`
	Work   `group:"Work"`
}

// Check validates the settings and returns all faults, none if they are valid.
func (serve Serve) Check() []Fault {
	checker := &checker{}
	serve.Listen.check(checker)
	serve.Place.check(checker)
	serve.Fleet.check(checker)
	serve.Work.check(checker)
	return checker.faults
}

// Node converts the settings to those of package node.
func (serve Serve) Node() node.Settings {
	return node.Settings{
		Member:          mimosatide.Member{Address: serve.Peers, Host: serve.Host, Zone: serve.Zone},
		PeerListen:      serve.Peers,
		CallerListen:    serve.Callers,
		OperatorListen:  serve.Operators,
		Platform:        serve.Platform,
		PlatformTimeout: serve.PlatformLimit,
		PeerSecret:      []byte(serve.PeerSecret),
		OperatorKey:     serve.OperatorKey,
		DrainTimeout:    serve.DrainLimit,
		Freshness:       serve.Freshness,
		LeaseTerm:       serve.Term,
		HostLag:         serve.HostLag,
		ProgressTimeout: serve.ProgressLimit,
		MaxBody:         serve.MaxBody,
		MaxHeader:       serve.MaxHeader,
		MaxQueued:       serve.MaxQueued,
		KeepFactor:      serve.KeepFactor,
		MinKeep:         serve.MinKeep,
		PoolSize:        serve.Workers,
	}
}
