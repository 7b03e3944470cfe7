package gossip

// Summary is the state of an availability zone of a large fleet, as one of its hosts knows
// it. The relay of the zone sends it to the relays of the other zones, in place of the
// digests of its hosts.
type Summary struct {
	Zone string `cbor:"1,keyasint"`
	// Relay is the host that made the summary, Incarnation its process.
	Relay       string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"`
	// Hosts is the number of the zone's hosts that send digests.
	Hosts int `cbor:"4,keyasint,omitempty"`
	// SilentMillis holds the time since the last digest of each host of the zone's list that
	// sends none.
	SilentMillis map[string]int64 `cbor:"5,keyasint,omitempty"`
	// Spent holds running totals of the tokens that the hosts have spent, by account. Only
	// the differences of totals of the same process mean something.
	Spent map[string]float64 `cbor:"6,keyasint,omitempty"`
	// Loads holds the load of all hosts together, by target.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// Tables holds the version of the newest change that any of the hosts knows, by table, and
	// SteadyTables that of the hosts that read the store themselves without a recent outage.
	Tables       map[string]uint64 `cbor:"8,keyasint,omitempty"`
	SteadyTables map[string]uint64 `cbor:"9,keyasint,omitempty"`
	// ConfigurationAgeMillis holds, by version, the time since the store last confirmed to one
	// of the hosts that this is the current configuration.
	ConfigurationAgeMillis map[uint64]int64 `cbor:"10,keyasint,omitempty"`
	// Idle says that all digests since the last summary were idle.
	Idle bool `cbor:"11,keyasint,omitempty"`
	// NewerConfiguration is the version of the configuration that the relay has in force if the
	// store was restored to an older one; otherwise zero. Key 12 is the era of the versions.
	NewerConfiguration int64 `cbor:"13,keyasint,omitempty"`
	// ReturnedMillis and KnowsReturns are those of the relay's digest.
	ReturnedMillis map[string]int64 `cbor:"14,keyasint,omitempty"`
	KnowsReturns   bool             `cbor:"15,keyasint,omitempty"`
}
