package mimosatide

import (
	"sort"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of a route.
const (
	// IdempotentRoute requests may run more than once.
	IdempotentRoute RouteKind = "Idempotent"
	// NonIdempotentRoute requests run at most once.
	NonIdempotentRoute RouteKind = "NonIdempotent"
	// StreamRoute requests are answered by a series of events.
	StreamRoute RouteKind = "Stream"
)

// ServiceShare is the part of a route's requests that a service gets.
type ServiceShare struct {
	Service string
	Weight  float64
}

// PathRoute leads the requests of a host and path prefix to services.
type PathRoute struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued behind their last event at another target.
	Resumable bool
	// Open routes need no key.
	Open bool
	// Timeout bounds how long a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time to the first byte within which an answer has its full worth.
	LatencyObjective time.Duration
	// EventGapObjective is the longest pause between two events of a stream that is on time.
	EventGapObjective time.Duration
	// Attempts is the number of targets that one request may be sent to.
	Attempts int
	// Priority ranks the route; zero comes first.
	Priority int
	Services []ServiceShare
}

// Repeatable says whether a request of the route may run more than once.
func (route PathRoute) Repeatable() bool {
	return route.Kind == IdempotentRoute || route.Resumable
}

// EngineModel is a model that the engines of a service may hold.
type EngineModel struct {
	Name string
	// MemoryMB is the engine memory that the model takes, in the platform's megabytes.
	MemoryMB float64
	// LoadTime, WarmLoadTime and DiskLoadTime are the times of a load from the
	// weight store, the target's memory and the target's disk.
	LoadTime        time.Duration
	WarmLoadTime    time.Duration
	DiskLoadTime    time.Duration
	Adapters        int
	AdapterMemoryMB float64
}

// EngineClass describes the engines of a service.
type EngineClass struct {
	Slots       int
	CacheTokens int
	// MemoryMB is shared by models and adapters, in the platform's megabytes.
	MemoryMB float64
	// HostMemoryMB and DiskMB hold copies of weights that were loaded before.
	HostMemoryMB float64
	DiskMB       float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         map[string]EngineModel
}

// Service is a group of targets that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one target from all nodes.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *EngineClass
}

// AccountLimit is a client account with its limit over the whole fleet.
type AccountLimit struct {
	Account
	// HasPriority tells a priority of zero from none.
	HasPriority bool
	// TokensPerCall is counted for a request that names no tokens.
	TokensPerCall float64
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Deployment is one version of the configuration that the operator wrote.
type Deployment struct {
	Version  int64
	Services map[string]Service
	Accounts map[string]AccountLimit
	Limits   CallerLimits
	// AccountOfKey maps each valid key to its account.
	AccountOfKey map[string]string

	routesByHost map[string][]PathRoute
	eventGaps    map[string]time.Duration
}

// WithRoutes returns a copy that has the given routes.
func (deployment Deployment) WithRoutes(routes []PathRoute) Deployment {
	deployment.routesByHost = map[string][]PathRoute{}
	deployment.eventGaps = map[string]time.Duration{}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		deployment.routesByHost[host] = append(deployment.routesByHost[host], route)
		deployment.noteEventGap(route)
	}
	for _, list := range deployment.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return deployment
}

func (deployment Deployment) noteEventGap(route PathRoute) {
	gap := route.EventGapObjective
	if gap <= 0 {
		return
	}
	for _, share := range route.Services {
		if known, found := deployment.eventGaps[share.Service]; !found || gap < known {
			deployment.eventGaps[share.Service] = gap
		}
	}
}

// ShortestEventGap returns the shortest pause between events that a route demands
// of the streams of a service, zero if none does.
func (deployment Deployment) ShortestEventGap(service string) time.Duration {
	return deployment.eventGaps[service]
}

// Match returns the route with the longest prefix that begins the path.
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
