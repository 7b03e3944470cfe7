package mimosatide

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// RouteKind says whether the requests of a route may be retried.
type RouteKind string

// The kinds of routes.
const (
	// IdempotentRoute is the kind of routes whose requests may run more than once.
	IdempotentRoute RouteKind = "Idempotent"
	// NonIdempotentRoute is the kind of routes whose requests run at most once.
	NonIdempotentRoute RouteKind = "NonIdempotent"
	// StreamRoute is the kind of routes whose answers are streams of events.
	StreamRoute RouteKind = "Stream"
)

// ServiceShare is a service of a route. It gets requests in proportion to its weight.
type ServiceShare struct {
	Service string
	Weight  float64
}

// PathRoute routes the requests at an entry node that have a given Host header and path
// prefix to services.
type PathRoute struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable says that a stream may be continued after its last event at another target.
	Resumable bool
	// Open says that requests need no API key.
	Open bool
	// Timeout is the deadline of a request, counted from its arrival.
	Timeout time.Duration
	// LatencyObjective is the time to first byte up to which an answer has its full value.
	LatencyObjective time.Duration
	// EventGapObjective is the maximum time between two events of a stream that meets its objective.
	EventGapObjective time.Duration
	// Patience is how long callers of a stream wait for its first event before they leave, counted
	// from the arrival; zero if that is not known.
	Patience time.Duration
	// Attempts is the maximum number of targets that may have run the same request;
	// targets that did not run it do not count.
	Attempts int
	// Priority is the rank of the route's requests; zero is the most urgent.
	Priority int
	Services []ServiceShare
}

// Repeatable reports whether a request of the route may run more than once.
func (route PathRoute) Repeatable() bool {
	return route.Kind == IdempotentRoute || route.Resumable
}

// EngineModel is a model that the engines of a service may load.
type EngineModel struct {
	Name string
	// MemoryMB is the engine memory that the model uses, in megabytes.
	MemoryMB float64
	// LoadTime, WarmLoadTime and DiskLoadTime are the times of a load from the
	// weight store, the target's host memory and the target's disk.
	LoadTime     time.Duration
	WarmLoadTime time.Duration
	DiskLoadTime time.Duration
	// Adapters is the number of the model's adapters, and AdapterMemoryMB the engine
	// memory that each of them uses.
	Adapters        int
	AdapterMemoryMB float64
}

// EngineClass describes the engines of a service.
type EngineClass struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the capacity of the KV cache, in tokens.
	CacheTokens int
	// MemoryMB is the engine memory that models and adapters share, in megabytes.
	MemoryMB float64
	// HostMemoryMB and DiskMB are the sizes of the caches of weights in host memory and
	// on disk, in megabytes.
	HostMemoryMB float64
	DiskMB       float64
	// AdapterSlots is the number of adapters that an engine can hold at once.
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all engines of the service.
	LoadsPerSecond float64
	Models         map[string]EngineModel
}

// Service is a group of interchangeable targets.
type Service struct {
	Name string
	// HealthPath is the path of the targets' health check.
	HealthPath string
	// MaxConnections bounds the connections of all nodes together to one target.
	MaxConnections int
	// ColdTime is how long a target is cold after its start, and ColdRate the number of requests a
	// second that it bears meanwhile from all nodes together; zero if cold targets bear as many as others.
	ColdTime time.Duration
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *EngineClass
}

// AccountLimit is a client account with its limit over the whole fleet. A Rate of
// zero means that there is no limit.
type AccountLimit struct {
	Account
	// HasPriority says that Priority is set and overrides the route's priority.
	HasPriority bool
	// TokensPerCall is charged for a request without a token count.
	TokensPerCall float64
}

// CallerLimits bounds the requests and connections of callers.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is one version of the operator's configuration of the entry nodes.
type Deployment struct {
	Version int64
	// Services and Accounts are keyed by name.
	Services map[string]Service
	Accounts map[string]AccountLimit
	Limits   CallerLimits
	// AccountOfKey maps each valid API key to the name of its account.
	AccountOfKey map[string]string

	// routesByHost maps lower-case hosts to routes, the longest prefix first.
	routesByHost map[string][]PathRoute
	// shortestEventGaps maps each service to the shortest event gap objective of its routes.
	shortestEventGaps map[string]time.Duration
	// ranked holds, of each service, the priority and the latency objective of its routes.
	ranked map[string]ranking
	// resumable holds the longest timeout of the resumable streams of each service that has any.
	resumable map[string]time.Duration
}

// WithRoutes returns a copy with the given routes in place of its own.
func (deployment Deployment) WithRoutes(routes []PathRoute) Deployment {
	deployment.routesByHost = map[string][]PathRoute{}
	deployment.shortestEventGaps = map[string]time.Duration{}
	deployment.ranked = map[string]ranking{}
	deployment.resumable = map[string]time.Duration{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		deployment.routesByHost[host] = append(deployment.routesByHost[host], route)
		deployment.recordEventGap(route)
		deployment.recordRanking(route)
		if route.Kind == StreamRoute && route.Resumable {
			for _, share := range route.Services {
				deployment.resumable[share.Service] = max(deployment.resumable[share.Service], route.Timeout)
			}
		}
	}
	for _, list := range deployment.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return deployment
}

func (deployment Deployment) recordEventGap(route PathRoute) {
	gap := route.EventGapObjective
	if gap <= 0 {
		return
	}
	for _, share := range route.Services {
		if shortest, found := deployment.shortestEventGaps[share.Service]; !found || gap < shortest {
			deployment.shortestEventGaps[share.Service] = gap
		}
	}
}

// ranking is the priority and the latency objective of the routes to a service; differs says that they have
// more than one.
type ranking struct {
	priority  int
	objective time.Duration
	differs   bool
}

func (deployment Deployment) recordRanking(route PathRoute) {
	own := ranking{priority: route.Priority, objective: route.LatencyObjective}
	for _, share := range route.Services {
		known, found := deployment.ranked[share.Service]
		if !found {
			known = own
		}
		known.differs = known.differs || known.priority != own.priority || known.objective != own.objective
		deployment.ranked[share.Service] = known
	}
}

// RanksDiffer reports whether the routes to a service differ in priority or latency objective.
func (deployment Deployment) RanksDiffer(service string) bool {
	return deployment.ranked[service].differs
}

// ShortestEventGap returns the shortest event gap objective among the routes to a
// service, or zero if no such route has one.
func (deployment Deployment) ShortestEventGap(service string) time.Duration {
	return deployment.shortestEventGaps[service]
}

// ResumableServices returns the services with streams that may be resumed, in the order of their
// names.
func (deployment Deployment) ResumableServices() []string {
	return slices.Sorted(maps.Keys(deployment.resumable))
}

// LongestStream returns the longest timeout of the streams that may be resumed, or zero if there
// are none.
func (deployment Deployment) LongestStream() time.Duration {
	longest := time.Duration(0)
	for _, timeout := range deployment.resumable {
		longest = max(longest, timeout)
	}
	return longest
}

// Match returns the route of the host with the longest prefix of the path. The
// host is compared without regard to case.
func (deployment Deployment) Match(host, path string) (PathRoute, bool) {
	for _, route := range deployment.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return PathRoute{}, false
}

// Routes returns the number of routes.
func (deployment Deployment) Routes() int {
	count := 0
	for _, list := range deployment.routesByHost {
		count += len(list)
	}
	return count
}
