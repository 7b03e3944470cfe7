package gateway

import (
	"cmp"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/balance"
)

// Exclusion is the rule that keeps a request from a target.
type Exclusion string

// The rules that keep a request from a target.
const (
	NotExcluded       Exclusion = ""
	ExcludedLeaving   Exclusion = "Leaving"
	ExcludedEvacuated Exclusion = "Evacuated"
	ExcludedNotLoaded Exclusion = "ModelNotLoaded"
	// ExcludedSoftware means that no stream may begin at the version of the target's software yet.
	ExcludedSoftware Exclusion = "SoftwareVersion"
	// ExcludedBlocked means that the target has asked for a pause, or that its limit allows nothing now.
	ExcludedBlocked Exclusion = "Blocked"
)

// TargetExplanation is what this node believes of a target for a request. Times are in milliseconds.
type TargetExplanation struct {
	Target   string
	Zone     string
	Excluded Exclusion
	// BlockedFor is the time until the target takes requests of this node again.
	BlockedFor float64
	// Cost is the expected time to the first byte, the sum of the seven parts below.
	Cost     float64
	Failures float64
	ZoneCost float64
	Limited  float64
	Work     float64
	Adapter  float64
	Gap      float64
	// Connection is the time to open a connection, if this node has no idle one.
	Connection float64
	// Factor is how many times the usual time the target takes.
	Factor float64
	// Running and Prefill are the requests of all nodes that are in flight there and the time
	// for their prompts that are not yet read, as far as this node has heard.
	Running int
	Prefill float64
}

// Explanation says where a request would go now.
type Explanation struct {
	// Configuration is the version in force, ConfigurationAge the time since it was last known to be
	// current, in milliseconds.
	Configuration    int64
	ConfigurationAge float64
	Route            string
	Service          string
	// Chosen is the target that the request would be sent to; empty if it would wait or be refused.
	Chosen string
	// Waits says that the request would wait for its model, and LoadExpectedIn in how many milliseconds the
	// owner of the engines expects it to be loaded; zero if it has not said so.
	Waits          bool
	LoadExpectedIn float64
	// Refusal is the reason with which the request would be refused at once, and Detail describes it.
	Refusal mimosatide.Reason
	Detail  string
	// Targets are all targets of the service, the cheapest that are not excluded first.
	Targets []TargetExplanation
}

// Explain says where a request would go now, without sending it. Its key, its account's rate and its body play
// no part.
func (gateway *Gateway) Explain(request mimosatide.CallerRequest, now time.Time) Explanation {
	deployment := gateway.Deployment()
	if deployment == nil {
		return Explanation{Refusal: mimosatide.ReasonNotFresh, Detail: "no configuration is known yet"}
	}
	explanation := Explanation{Configuration: deployment.Version, ConfigurationAge: millis(gateway.DeploymentAge())}
	route, found := deployment.Match(request.Host, request.Path)
	if !found {
		explanation.Refusal, explanation.Detail = mimosatide.ReasonUnknownRoute, "no route matches"
		return explanation
	}
	handler := &requestHandler{gateway: gateway, request: request, route: route, service: deployment.Services[pickService(route, request.ID)]}
	handler.gapObjective = deployment.ShortestEventGap(handler.service.Name)
	explanation.Route, explanation.Service = route.Name, handler.service.Name
	explanation.Targets = handler.explainTargets(now)
	first := func(target TargetExplanation) bool { return target.Excluded == NotExcluded }
	if index := slices.IndexFunc(explanation.Targets, first); index >= 0 {
		explanation.Chosen = explanation.Targets[index].Target
		return explanation
	}
	if handler.service.Engine == nil || len(handler.candidates()) == 0 {
		explanation.Refusal, explanation.Detail = mimosatide.ReasonNoCapacity, "no target of the service takes requests"
		return explanation
	}
	if _, known := handler.service.Engine.Models[request.Model]; !known {
		explanation.Refusal, explanation.Detail = mimosatide.ReasonUnknownModel, "the model is not configured"
		return explanation
	}
	explanation.Waits = true
	if at, known := gateway.Loader.ExpectedLoad(handler.service.Name, request.Model); known {
		explanation.LoadExpectedIn = max(millis(at.Sub(now)), 0)
	}
	return explanation
}

// explainTargets describes all targets of the service.
func (handler *requestHandler) explainTargets(now time.Time) []TargetExplanation {
	all := handler.gateway.Targets.View().All(handler.service.Name)
	open := map[string]bool{}
	for _, candidate := range handler.candidates() {
		open[candidate.ID] = true
	}
	estimates := handler.gateway.Tracker.Explain(handler.query(), all, now)
	targets := make([]TargetExplanation, 0, len(all))
	for index, instance := range all {
		estimate := estimates[index]
		target := TargetExplanation{
			Target: instance.ID, Zone: instance.Zone, Excluded: handler.exclusion(instance, open[instance.ID], estimate),
			Cost: millis(estimate.Cost.Total()), Failures: millis(estimate.Cost.Failures), ZoneCost: millis(estimate.Cost.Zone),
			Limited: millis(estimate.Cost.Limited), Work: millis(estimate.Cost.Work), Adapter: millis(estimate.Cost.Adapter), Gap: millis(estimate.Cost.Gap),
			Connection: millis(estimate.Cost.Connection),
			Factor:     estimate.Cost.Factor, Running: estimate.Load.Running, Prefill: millis(estimate.Load.Prefill),
		}
		if !estimate.BlockedUntil.IsZero() {
			target.BlockedFor = millis(estimate.BlockedUntil.Sub(now))
		}
		targets = append(targets, target)
	}
	slices.SortStableFunc(targets, func(first, second TargetExplanation) int {
		if (first.Excluded == NotExcluded) != (second.Excluded == NotExcluded) {
			if first.Excluded == NotExcluded {
				return -1
			}
			return 1
		}
		return cmp.Compare(first.Cost, second.Cost)
	})
	return targets
}

// exclusion returns the first rule that keeps the request from a target; open says that its state and its
// software allow requests.
func (handler *requestHandler) exclusion(instance mimosatide.Instance, open bool, estimate balance.Estimate) Exclusion {
	switch {
	case instance.Leaving:
		return ExcludedLeaving
	case instance.Evacuated:
		return ExcludedEvacuated
	case !open:
		return ExcludedSoftware
	case handler.service.Engine != nil && !instance.Holds(handler.request.Model):
		return ExcludedNotLoaded
	case !estimate.BlockedUntil.IsZero():
		return ExcludedBlocked
	default:
		return NotExcluded
	}
}

func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
