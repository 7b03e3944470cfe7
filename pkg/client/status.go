package client

// Member is one node of the fleet.
type Member struct {
	Address string
	Host    string
	Zone    string
	Live    bool
	// Shares is how many of the accounts' shares the member holds.
	Shares int
}

// Target is a model engine or a plain service.
type Target struct {
	Name      string
	Kind      string
	Zone      string
	Reachable bool
	Leaving   bool
	Running   int
}

// Placement is a replica of a model at an engine.
type Placement struct {
	ID       string
	Model    string
	Version  string
	Target   string
	State    string
	Adapters []string
}

// Account is what a client account got at one node.
type Account struct {
	Name         string
	Balance      float64
	Served       int
	Refused      int
	ServedTokens float64
	// MeanWaitMs is the mean wait until a request was sent, in milliseconds.
	MeanWaitMs float64
}

// Status is the state of the fleet as one node knows it.
type Status struct {
	Node     string
	Version  uint64
	Sequence uint64
	Applied  uint64
	Fresh    bool
	// FreshForMs is how long the configuration is still confirmed, in milliseconds.
	FreshForMs int64
	Draining   bool
	Members    []Member
	Targets    []Target
	Placements []Placement
	Accounts   []Account
	// Waiting counts the waiting requests by model and account.
	Waiting map[string]map[string]int
}
