package mimosatide

import "time"

// Model is a language model that engines can load.
type Model struct {
	Name    string
	Version string
	// Memory is the engine memory in bytes that one replica takes.
	Memory int64
	// LoadTime is the expected time of a load from the weight store.
	LoadTime time.Duration
	// WaitLimit bounds the wait of a request for this model.
	WaitLimit time.Duration
	// MaxReplicas bounds the replicas of the model.
	MaxReplicas int
	// Concurrency is the number of requests that one replica runs at once.
	Concurrency int
	// Adapters are the adapters of the model by name.
	Adapters map[string]Adapter
}

// Adapter is a small addition to a model, loaded beside it.
type Adapter struct {
	Name    string
	Version string
	// Memory is the engine memory in bytes that the adapter takes.
	Memory int64
}

// Route is a way to a group of plain services.
type Route struct {
	Name string
	// Open routes need no key.
	Open bool
	// Idempotent routes may be tried again.
	Idempotent bool
	// WaitLimit bounds the time until a request is answered.
	WaitLimit time.Duration
	// Tokens is what one call costs its account.
	Tokens float64
	// Targets are the names of the services behind the route.
	Targets []string
}

// TargetKind tells engines from plain services.
type TargetKind string

// The kinds of a target.
const (
	EngineTarget  TargetKind = "Engine"
	ServiceTarget TargetKind = "Service"
)

// TargetSpec describes a model engine or a plain service.
type TargetSpec struct {
	Name    string
	Kind    TargetKind
	Address string
	Host    string
	Zone    string
	// Memory is the memory in bytes that an engine has for models.
	Memory int64
	// ChecksFencing says that the engine refuses orders with an old number.
	ChecksFencing bool
}
