package mimosatide

import "time"

// Model is a language model that engines can load.
type Model struct {
	Name    string
	Version string
	// Memory is the engine memory that one replica uses, in bytes.
	Memory int64
	// LoadTime is the expected time of a load from the weight store.
	LoadTime time.Duration
	// WaitLimit bounds how long a request waits for this model.
	WaitLimit time.Duration
	// MaxReplicas bounds the replicas of the model.
	MaxReplicas int
	// Concurrency is the number of requests that one replica runs at once.
	Concurrency int
	// Adapters maps names to the adapters of the model.
	Adapters map[string]Adapter
}

// Adapter is a small set of additional weights that is loaded on top of a model.
type Adapter struct {
	Name    string
	Version string
	// Memory is the engine memory that the adapter uses, in bytes.
	Memory int64
}

// Route routes the requests at a node of the fleet to a group of plain services. The
// routes of an entry node are of type PathRoute.
type Route struct {
	Name string
	// Open says that requests need no API key.
	Open bool
	// Idempotent says that requests may be retried.
	Idempotent bool
	// WaitLimit bounds the time from a request's arrival to its answer.
	WaitLimit time.Duration
	// Tokens is the number of tokens that one call costs its account.
	Tokens float64
	// Targets are the names of the targets behind the route.
	Targets []string
}

// TargetKind distinguishes model engines from plain services.
type TargetKind string

// The kinds of targets.
const (
	EngineTarget  TargetKind = "Engine"
	ServiceTarget TargetKind = "Service"
)

// TargetSpec describes a model engine or a plain service, as the operators of a fleet
// configure it. Entry nodes use Instance.
type TargetSpec struct {
	Name    string
	Kind    TargetKind
	Address string
	Host    string
	Zone    string
	// Memory is the memory that an engine has for models and adapters, in bytes.
	Memory int64
	// ChecksFencing says that the engine rejects orders with a stale fencing token.
	ChecksFencing bool
}
