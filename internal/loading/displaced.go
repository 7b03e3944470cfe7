package loading

import (
	"sort"
	"time"
)

// displacedIdle is how long a model may have been idle to be loaded elsewhere, before a request
// comes, when the zone of its replicas is evacuated: about the time of a load from the weight store.
const displacedIdle = 8 * time.Second

// displaced returns the models that engines of evacuated zones hold.
func (controller *Controller) displaced() map[string]bool {
	var models map[string]bool
	for _, instance := range controller.targets.View().Evacuated(controller.settings.Service) {
		for _, holding := range instance.Holdings {
			if models == nil {
				models = map[string]bool{}
			}
			models[holding.Model] = true
		}
	}
	return models
}

// displaced returns the models that were in use and have lost all their replicas to the evacuation of
// a zone, the busiest first. Their next requests are expected soon.
func (planner *planner) displaced() []string {
	var models []string
	for name := range planner.Displaced {
		demand, known := planner.Demand[name]
		if known && planner.replicas[name] == 0 && demand.Idle < displacedIdle {
			models = append(models, name)
		}
	}
	sort.Slice(models, func(i, j int) bool {
		first, second := planner.Demand[models[i]], planner.Demand[models[j]]
		if first.PrefillLoad != second.PrefillLoad {
			return first.PrefillLoad > second.PrefillLoad
		}
		return models[i] < models[j]
	})
	return models
}
