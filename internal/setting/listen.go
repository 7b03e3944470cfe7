package setting

// Listen is where a node is reached.
type Listen struct {
	Callers   string `help:"Address for callers, as IP:PORT." default:"127.0.0.1:8080" env:"MIMOSATIDE_CALLERS"`
	Operators string `help:"Address for operators, as IP:PORT." default:"127.0.0.1:8081" env:"MIMOSATIDE_OPERATORS"`
	Peers     string `help:"Address for the other nodes, as IP:PORT; it is the node's name in the fleet." default:"127.0.0.1:8082" env:"MIMOSATIDE_PEERS"`
}

func (listen Listen) check(found *checks) {
	found.address("callers", listen.Callers)
	found.address("operators", listen.Operators)
	found.address("peers", listen.Peers)
}
