package setting

// Listen holds the addresses that a node listens on.
type Listen struct {
	Callers   string `help:"Address for callers, as IP:PORT." default:"127.0.0.1:8080" env:"MIMOSATIDE_CALLERS"`
	Operators string `help:"Address for operators, as IP:PORT." default:"127.0.0.1:8081" env:"MIMOSATIDE_OPERATORS"`
	Peers     string `help:"Address for the other nodes, as IP:PORT; it is the node's name in the fleet." default:"127.0.0.1:8082" env:"MIMOSATIDE_PEERS"`
}

func (listen Listen) check(checker *checker) {
	checker.checkAddress("callers", listen.Callers)
	checker.checkAddress("operators", listen.Operators)
	checker.checkAddress("peers", listen.Peers)
}
