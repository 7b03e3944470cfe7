package entrynode

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

// evacuationsPath is the path on the metrics address that says which zones are evacuated and which targets cold.
const evacuationsPath = "/evacuations"

// EvacuationReport is what a node knows of evacuated zones and cold targets.
type EvacuationReport struct {
	Node  string
	Zones []ZoneReport
	Cold  []ColdReport
	// Part is the part of the rates of cold targets for which the node may issue permits.
	Part float64
}

// ZoneReport describes an evacuated zone.
type ZoneReport struct {
	Zone        string
	Since       time.Time
	SinceMillis int64
	Targets     int
	// InFlight is the number of this node's requests at the zone's targets.
	InFlight int
	// Models are those that only the zone held.
	Models []ModelReport
}

// ModelReport names the targets elsewhere that hold a model.
type ModelReport struct {
	Service  string
	Model    string
	LoadedAt []string
}

// The reasons for which a target counts as cold.
const (
	ColdReported     = "Reported"
	ColdZoneReturned = "ZoneReturned"
	ColdStarting     = "Starting"
)

// ColdReport describes a cold target.
type ColdReport struct {
	Target     string
	Service    string
	Zone       string
	LeftMillis int64
	// Rate is in requests a second, over all nodes.
	Rate   float64
	Reason string
}

// evacuationsHandler answers with a report.
func evacuationsHandler(report func(time.Time) EvacuationReport) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		// An error means that the caller has closed the connection.
		_ = encoder.Encode(report(time.Now()))
	}
}

// evacuationReport returns what this node knows of evacuated zones and cold targets.
func (node *Node) evacuationReport(now time.Time) EvacuationReport {
	report := EvacuationReport{Node: node.settings.Node, Part: node.fleet.Heard()}
	loads, view := node.tracker.Loads(), node.targets.View()
	for _, evacuation := range node.targets.EvacuationsWithModels(now) {
		zone := ZoneReport{
			Zone: evacuation.Zone, Since: evacuation.Since, SinceMillis: now.Sub(evacuation.Since).Milliseconds(),
			Targets: len(evacuation.Targets), InFlight: evacuation.InFlight(func(target string) int { return loads[target].Running }),
		}
		for _, model := range evacuation.Models {
			zone.Models = append(zone.Models, ModelReport{Service: model.Service, Model: model.Model, LoadedAt: view.Holders(model)})
		}
		report.Zones = append(report.Zones, zone)
	}
	deployment := node.deployment.Load()
	if deployment == nil {
		return report
	}
	_, returnsKnown := node.targets.Returns(now)
	for name, service := range deployment.Services {
		for _, instance := range view.Service(name) {
			if bound, limited := node.limits.Bound(instance, now); limited && bound.Shared {
				report.Cold = append(report.Cold, coldReport(instance, service.ColdTime, bound.Rate, returnsKnown, now))
			}
		}
	}
	slices.SortFunc(report.Cold, func(one, other ColdReport) int {
		return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.Target, other.Target))
	})
	return report
}

// coldReport describes a cold target: until its zone's return is coldTime ago, or as it said.
func coldReport(instance mimosatide.Instance, coldTime time.Duration, rate float64, returnsKnown bool, now time.Time) ColdReport {
	until, reason := instance.ColdUntil, ColdReported
	if returned := instance.ReturnedAt.Add(coldTime); !instance.ReturnedAt.IsZero() && returned.After(until) {
		until, reason = returned, ColdZoneReturned
		if !returnsKnown {
			reason = ColdStarting
		}
	}
	return ColdReport{
		Target: instance.ID, Service: instance.Service, Zone: instance.Zone,
		LeftMillis: until.Sub(now).Milliseconds(), Rate: rate, Reason: reason,
	}
}
