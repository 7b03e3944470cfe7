package client

// Member is a node of the fleet.
type Member struct {
	// Address is the address of the node's peer port, which identifies the node.
	Address string
	// Host is the node's name on the platform's host list.
	Host string
	// Zone is the node's availability zone.
	Zone string
	Live bool
	// Shares is the number of rate-limit shares that the member holds.
	Shares int
}

// Target is a model engine or a plain service.
type Target struct {
	Name string
	// Kind is Engine or Service.
	Kind string
	Zone string
	// Reachable is set if the node got the last report that it asked the engine for. It
	// is not set for plain services.
	Reachable bool
	// Leaving is set if the target gets no new requests.
	Leaving bool
	// Running is the number of running and queued requests in the engine's last report.
	Running int
}

// Placement is a replica of a model at an engine.
type Placement struct {
	ID    string
	Model string
	// Version is the version of the model.
	Version string
	// Target is the name of the engine.
	Target string
	// State is the state of the replica, such as Loading or Ready.
	State string
	// Adapters are the names of the adapters that are ready.
	Adapters []string
}

// Account holds the figures of a client account at one node.
type Account struct {
	Name string
	// Balance is the number of tokens that the account can use at this node now.
	Balance float64
	// Served and Refused count the requests since the node started.
	Served  int
	Refused int
	// ServedTokens is the number of tokens that the served requests cost.
	ServedTokens float64
	// MeanWaitMs is the mean time that a request waited until it was sent to a target,
	// in milliseconds.
	MeanWaitMs float64
}

// Status is the state of the fleet as one node sees it.
type Status struct {
	// Node is the address of the node's peer port.
	Node string
	// Version is the configuration version in force at the node.
	Version uint64
	// Sequence is the number of the last accepted entry of the configuration log that
	// the node knows of, Applied that of the last entry it has applied.
	Sequence uint64
	Applied  uint64
	// Fresh is set if the node's configuration is confirmed to be fresh, so that it
	// admits requests.
	Fresh bool
	// FreshForMs is the time for which the configuration stays fresh without another
	// confirmation, in milliseconds. It is negative if the configuration is stale.
	FreshForMs int64
	// Draining is set if the node is shutting down.
	Draining bool
	Members  []Member
	// Targets are all targets of the configuration.
	Targets []Target
	// Placements are those of the models whose placements this node decides.
	Placements []Placement
	// Accounts are the accounts that this node knows, with their figures at this node.
	Accounts []Account
	// Waiting is the number of waiting requests by model and account.
	Waiting map[string]map[string]int
}
