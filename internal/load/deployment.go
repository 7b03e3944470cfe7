package load

import (
	"cmp"
	"fmt"
	"time"
)

// Deployment describes the targets, models and accounts of a configuration that the load
// tool writes. The system is first run in two deployments, Association and Cinturon.
type Deployment struct {
	Name string
	// Engines and Services are the numbers of model engines and plain services.
	Engines  int
	Services int
	// Models and Adapters are the numbers of models and adapters; adapters are spread evenly over the models.
	Models   int
	Adapters int
	// Accounts are the client accounts; their fractions of the load add up to one.
	Accounts []AccountLoad
	// RouteName is the name of the non-idempotent route to the plain services.
	RouteName string
	// Concurrency is the number of requests that a replica runs at once; zero means defaultConcurrency.
	Concurrency int
}

// AccountLoad is a client account with its limits and its fraction of the load.
type AccountLoad struct {
	Name string
	// Rate is in tokens per second; the burst is twice the rate.
	Rate float64
	// Weight is the account's weight in the fair queue, and its priority.
	Weight float64
	// Fraction is the fraction of all requests that the account sends.
	Fraction float64
}

// Association returns the deployment named association, of region pl-central.
func Association() Deployment {
	return Deployment{
		Name: "association", Engines: 9, Services: 3, Models: 30, Adapters: 55, RouteName: "postage",
		Accounts: []AccountLoad{
			{Name: "sponsor-north", Rate: 30000, Weight: 4, Fraction: 0.35},
			{Name: "sponsor-south", Rate: 30000, Weight: 4, Fraction: 0.35},
			{Name: "clubs", Rate: 10000, Weight: 2, Fraction: 0.15},
			{Name: "schools", Rate: 10000, Weight: 1, Fraction: 0.10},
			{Name: "reviews", Rate: 5000, Weight: 1, Fraction: 0.05},
		},
	}
}

// Cinturon returns the deployment named cinturon, of region andina.
func Cinturon() Deployment {
	return Deployment{
		Name: "cinturon", Engines: 12, Services: 3, Models: 30, Adapters: 65, RouteName: "stock",
		Accounts: []AccountLoad{
			{Name: "configurator", Rate: 60000, Weight: 4, Fraction: 0.5},
			{Name: "workshops", Rate: 20000, Weight: 4, Fraction: 0.25},
			{Name: "partners", Rate: 10000, Weight: 2, Fraction: 0.15},
			{Name: "catalogue", Rate: 5000, Weight: 1, Fraction: 0.07},
			{Name: "trial", Rate: 2000, Weight: 1, Fraction: 0.03},
		},
	}
}

// OverloadDeployment returns a deployment of one model on one engine, with three accounts of equal weight.
func OverloadDeployment() Deployment {
	return Deployment{
		Name: "overload", Engines: 1, Services: 1, Models: 1, RouteName: "orders",
		Accounts: []AccountLoad{
			{Name: "flooding", Rate: 100000, Weight: 1, Fraction: 0.8},
			{Name: "schools", Rate: 100000, Weight: 1, Fraction: 0.1},
			{Name: "reviews", Rate: 100000, Weight: 1, Fraction: 0.1},
		},
	}
}

// FindDeployment returns the deployment with the given name.
func FindDeployment(name string) (Deployment, bool) {
	for _, known := range []Deployment{Association(), Cinturon()} {
		if known.Name == name {
			return known, true
		}
	}
	return Deployment{}, false
}

// modelMemory is a quarter of a stand-in engine's memory in bytes, so that an engine holds four models.
const modelMemory = 20 << 30

// defaultConcurrency is the number of requests that a replica runs at once.
const defaultConcurrency = 16

// adapterMemory is in bytes.
const adapterMemory = 64 << 20

// KeyOf returns the caller's key that the load tool uses for an account.
func KeyOf(account string) string {
	return "sk-load-" + account
}

// ModelName returns the name of the model with the given index.
func ModelName(index int) string {
	return fmt.Sprintf("model-%02d", index)
}

// Document returns the deployment's configuration as a JSON merge patch. The
// targets are those of a stand-in whose platform listens at 127.0.0.1 and the
// given port. The function digest returns the digest under which a key is stored.
func (deployment Deployment) Document(port int, loadTime, waitLimit time.Duration, digest func(key string) string) map[string]any {
	accounts, keys := map[string]any{}, map[string]any{}
	for _, account := range deployment.Accounts {
		accounts[account.Name] = map[string]any{
			"RateTokensPerSecond": account.Rate, "BurstTokens": 2 * account.Rate, "Weight": account.Weight, "Priority": int(account.Weight),
		}
		keys[digest(KeyOf(account.Name))] = map[string]any{"Account": account.Name, "Withdrawn": false}
	}
	models := map[string]any{}
	for index := range deployment.Models {
		models[ModelName(index)] = deployment.model(index, loadTime, waitLimit)
	}
	targets, names := deployment.targets(port)
	return map[string]any{
		"Accounts": accounts, "Keys": keys, "Models": models, "Targets": targets,
		"Routes": map[string]any{
			deployment.RouteName: route(false, waitLimit, 1, names),
			"lookups":            route(true, waitLimit, 0, names),
		},
	}
}

func (deployment Deployment) model(index int, loadTime, waitLimit time.Duration) map[string]any {
	adapters := map[string]any{}
	for adapter := index; adapter < deployment.Adapters; adapter += deployment.Models {
		adapters[fmt.Sprintf("adapter-%02d", adapter)] = map[string]any{"Version": "1", "MemoryBytes": adapterMemory}
	}
	return map[string]any{
		"Version": "1", "MemoryBytes": modelMemory, "LoadTime": loadTime.String(), "WaitLimit": waitLimit.String(),
		"MaxReplicas": 3, "Concurrency": cmp.Or(deployment.Concurrency, defaultConcurrency), "Adapters": adapters,
	}
}

func (deployment Deployment) targets(port int) (map[string]any, []string) {
	zones := []string{"a", "b", "c"}
	targets := map[string]any{}
	addTarget := func(name, kind string, offset, memory int) {
		targets[name] = map[string]any{
			"Kind": kind, "Address": fmt.Sprintf("127.0.0.1:%d", port+offset), "Host": "host-" + name,
			"Zone": zones[offset%len(zones)], "MemoryBytes": memory, "ChecksFencing": true,
		}
	}
	for index := range deployment.Engines {
		addTarget(fmt.Sprintf("engine-%d", index+1), "Engine", index+1, 80<<30)
	}
	var names []string
	for index := range deployment.Services {
		name := fmt.Sprintf("service-%d", index+1)
		addTarget(name, "Service", deployment.Engines+index+1, 0)
		names = append(names, name)
	}
	return targets, names
}

func route(open bool, waitLimit time.Duration, tokens int, targets []string) map[string]any {
	return map[string]any{
		"Open": open, "Idempotent": open, "WaitLimit": waitLimit.String(), "TokensPerCall": tokens, "Targets": targets,
	}
}
