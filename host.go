package mimosatide

import "context"

// HostState is what the platform's host list says about a host.
type HostState string

// The states of a host on the platform's list.
const (
	HostLive    HostState = "Live"
	HostLeaving HostState = "Leaving"
)

// Host is one entry of the platform's host list.
type Host struct {
	Name  string
	State HostState
}

// HostList is the platform's list of hosts, which lags behind the truth.
type HostList interface {
	// ListHosts returns the hosts that the platform knows.
	ListHosts(ctx context.Context) ([]Host, error)
}

// Member is one node of the fleet, known by the address of its peer port.
type Member struct {
	Address string
	Host    string
	Zone    string
}
