package mimosatide

import "context"

// HostState is the state of a host on the platform's host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name  string
	State HostState
}

// HostList is the platform's list of hosts. It lags behind their actual state.
type HostList interface {
	// ListHosts returns the hosts that the platform knows.
	ListHosts(ctx context.Context) ([]Host, error)
}

// Member is one node of the fleet, identified by the address of its peer port.
type Member struct {
	Address string
	Host    string
	Zone    string
}
