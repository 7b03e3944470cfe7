package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mimosatide.example/mimosatide"
)

const (
	// restoredEvacuation is how long an evacuation is kept whose row a restore of the store took away.
	// The operator writes it again sooner, unless it has ended.
	restoredEvacuation = 10 * time.Second
	// returnMemory is how long the end of an evacuation is remembered: longer than any target is cold.
	returnMemory = time.Minute
)

// evacuation is an availability zone to whose targets nothing is sent.
type evacuation struct {
	row   mimosatide.RowVersion
	since time.Time
	// until is when the evacuation ends because a restore of the store took its row away; zero while
	// the row is there.
	until time.Time
	// models are those that only targets of the zone held when the evacuation began.
	models map[HeldModel]bool
}

// HeldModel is a model that targets of a service hold.
type HeldModel struct {
	Service string
	Model   string
}

// Evacuation describes the evacuation of an availability zone.
type Evacuation struct {
	Zone  string
	Since time.Time
	// Targets are the ids of the zone's targets, of all services.
	Targets []string
	// Models are those that only targets of the zone held when the evacuation began, or hold now.
	Models []HeldModel
}

// Evacuate keeps all requests from the targets of an availability zone, also from those that join
// it later, until EndEvacuation. row is the version of the row that asks for it.
func (registry *Registry) Evacuate(zone string, row mimosatide.RowVersion, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	known, found := registry.evacuations[zone]
	if !found {
		known.since, known.models = now, registry.modelsOnlyIn(zone, now)
	}
	known.row, known.until = row, time.Time{}
	registry.evacuations[zone] = known
	if found {
		return
	}
	registry.log.Info("zone evacuated", "zone", zone, "row", row, "targets", len(registry.targetsOf(zone)))
	registry.markChanged()
}

// EndEvacuation lets the targets of a zone get requests again. If the row is missing because the store was
// restored, the evacuation goes on for restoredEvacuation: the copy may be older than the row.
func (registry *Registry) EndEvacuation(zone string, row mimosatide.RowVersion, restored bool, now time.Time) {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	known, found := registry.evacuations[zone]
	if !found {
		return
	}
	if restored {
		known.until = now.Add(restoredEvacuation)
		registry.evacuations[zone] = known
		registry.log.Info("evacuation lost by a restore", "zone", zone, "row", row, "keptFor", restoredEvacuation)
		return
	}
	registry.endEvacuation(zone, row, now)
	registry.markChanged()
}

func (registry *Registry) endEvacuation(zone string, row mimosatide.RowVersion, now time.Time) {
	known := registry.evacuations[zone]
	delete(registry.evacuations, zone)
	registry.returns[zone] = now
	registry.log.Info("evacuation ended", "zone", zone, "row", row, "took", now.Sub(known.since), "targets", len(registry.targetsOf(zone)))
}

// Evacuations returns the evacuated zones in the order of their names.
func (registry *Registry) Evacuations() []Evacuation {
	registry.lock.Lock()
	defer registry.lock.Unlock()
	var list []Evacuation
	for _, zone := range slices.Sorted(maps.Keys(registry.evacuations)) {
		list = append(list, Evacuation{Zone: zone, Since: registry.evacuations[zone].since, Targets: registry.targetsOf(zone)})
	}
	return list
}

// EvacuationsWithModels returns the evacuated zones with the models that only they held.
func (registry *Registry) EvacuationsWithModels(now time.Time) []Evacuation {
	list := registry.Evacuations()
	registry.lock.Lock()
	defer registry.lock.Unlock()
	for index, evacuation := range list {
		models := registry.modelsOnlyIn(evacuation.Zone, now)
		maps.Copy(models, registry.evacuations[evacuation.Zone].models)
		list[index].Models = slices.SortedFunc(maps.Keys(models), func(one, other HeldModel) int {
			return cmp.Or(cmp.Compare(one.Service, other.Service), cmp.Compare(one.Model, other.Model))
		})
	}
	return list
}

// modelsOnlyIn returns the models that targets of a zone hold, and no target to which requests may be sent
// elsewhere.
func (registry *Registry) modelsOnlyIn(zone string, now time.Time) map[HeldModel]bool {
	models, elsewhere := map[HeldModel]bool{}, map[HeldModel]bool{}
	for _, instance := range registry.instances {
		into := models
		if _, evacuated := registry.evacuations[instance.Zone]; instance.Zone != zone {
			if evacuated || registry.isLeaving(instance) {
				continue
			}
			into = elsewhere
		}
		for _, holding := range registry.effective(instance, now).Holdings {
			into[HeldModel{Service: instance.Service, Model: holding.Model}] = true
		}
	}
	maps.DeleteFunc(models, func(model HeldModel, _ bool) bool { return elsewhere[model] })
	return models
}

// targetsOf returns the ids of the targets of a zone.
func (registry *Registry) targetsOf(zone string) []string {
	var targets []string
	for id, instance := range registry.instances {
		if instance.Zone == zone {
			targets = append(targets, id)
		}
	}
	return targets
}

// expireEvacuations ends the evacuations whose rows were not written again after a restore, and
// reports whether there were any.
func (registry *Registry) expireEvacuations(now time.Time) bool {
	expired := false
	for zone, known := range registry.evacuations {
		if !known.until.IsZero() && now.After(known.until) {
			registry.endEvacuation(zone, known.row, now)
			expired = true
		}
	}
	maps.DeleteFunc(registry.returns, func(_ string, at time.Time) bool { return now.Sub(at) > returnMemory })
	return expired
}
