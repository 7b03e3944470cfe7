package entrynode

import (
	"time"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/feed"
	"mimosatide.example/mimosatide/internal/permit"
	"mimosatide.example/mimosatide/platform"
)

// applyEvacuations applies the rows of the configuration's table that ask for the evacuation of a zone.
func (node *Node) applyEvacuations(update feed.Update) {
	now := time.Now()
	for _, change := range update.Rows {
		zone, asked := platform.DecodeEvacuation(change.Key)
		switch {
		case !asked:
		case change.Deleted:
			node.targets.EndEvacuation(zone, change.Version, update.Restored, now)
		default:
			node.targets.Evacuate(zone, change.Version, now)
		}
	}
}

// setColdLimits sets what the cold targets of each service bear, according to a configuration.
func (node *Node) setColdLimits(deployment *mimosatide.Deployment) {
	bounds := node.settings.Bounds
	cold := map[string]permit.ColdLimit{}
	for name, service := range deployment.Services {
		if service.ColdRate > 0 {
			cold[name] = permit.NewColdLimit(service.ColdTime, service.ColdRate, bounds.ColdOverage, bounds.ColdSlack)
		}
	}
	node.limits.SetCold(cold)
}

// returnsOf returns the ends of evacuations that this node knows, for a message.
func (node *Node) returnsOf(now time.Time) (ages map[string]int64, all bool) {
	returns, all := node.targets.Returns(now)
	for zone, at := range returns {
		if ages == nil {
			ages = map[string]int64{}
		}
		ages[zone] = now.Sub(at).Milliseconds()
	}
	return ages, all
}

// applyReturns takes the ends of evacuations that a host reports; all says that it knows all of them up to the
// time at which its copy of the configuration's table was current.
func (node *Node) applyReturns(ages map[string]int64, all bool, copyAge time.Duration, now time.Time) {
	returns := make(map[string]time.Time, len(ages))
	for zone, age := range ages {
		returns[zone] = now.Add(-time.Duration(age) * time.Millisecond)
	}
	node.targets.ApplyReturns(returns, all && copyAge > 0 && copyAge <= freshTargets, now)
}

// unawareHosts are those that have said that they, too, don't know which evacuations have ended.
type unawareHosts struct {
	hosts, zones map[string]bool
}

// stopAssumingReturns ends the time in which all targets count as cold after the start of this node, once all
// hosts have said that they have just started as well: no host is left that can tell, and the rows of the
// targets are newer than all of them.
func (fleet *fleet) stopAssumingReturns(now time.Time) {
	if _, all := fleet.node.targets.Returns(now); all || !fleet.node.followers[hostTable].State().Synced {
		return
	}
	fleet.lock.Lock()
	unaware := len(fleet.members) > 0
	for name, member := range fleet.members {
		unaware = unaware && (fleet.unaware.hosts[name] || fleet.unaware.zones[member.zone])
	}
	fleet.lock.Unlock()
	if unaware {
		fleet.node.targets.ApplyReturns(nil, true, now)
	}
}

// recordEvacuations sets the gauges of evacuated zones and cold targets, and logs once for each
// evacuation when this node has nothing in flight any more at the zone's targets.
func (node *Node) recordEvacuations(now time.Time) {
	evacuations := node.targets.Evacuations()
	if len(evacuations) > 0 || node.evacuatedBefore {
		loads := node.tracker.Loads()
		left, empty := node.evacuations.Observe(evacuations, func(target string) int { return loads[target].Running })
		for _, evacuation := range empty {
			node.log.Info("zone empty", "zone", evacuation.Zone, "targets", len(evacuation.Targets), "after", now.Sub(evacuation.Since))
		}
		node.meter.SetGauge("evacuated_requests", float64(left))
	}
	node.evacuatedBefore = len(evacuations) > 0
	node.meter.SetGauge("evacuated_zones", float64(len(evacuations)))
	node.meter.SetGauge("cold_targets", float64(node.coldTargets(now)))
	node.meter.SetGauge("cold_permit_part", node.fleet.Heard())
}

// coldTargets returns how many targets are limited because they are cold.
func (node *Node) coldTargets(now time.Time) int {
	deployment := node.deployment.Load()
	if deployment == nil {
		return 0
	}
	count, view := 0, node.targets.View()
	for name, service := range deployment.Services {
		if service.ColdRate <= 0 {
			continue
		}
		for _, instance := range view.Service(name) {
			if bound, limited := node.limits.Bound(instance, now); limited && bound.Shared {
				count++
			}
		}
	}
	return count
}
