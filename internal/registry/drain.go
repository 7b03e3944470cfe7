package registry

import "time"

// DrainWatch follows what is still in flight at the targets of evacuated zones. It is not safe for concurrent use.
type DrainWatch struct {
	// emptied holds, by zone, the start of the evacuation since which nothing was left once.
	emptied map[string]time.Time
}

// Observe takes the evacuations in force and returns how many requests are in flight at their targets, and the
// evacuations whose zones have become empty since they began; each is returned once.
func (watch *DrainWatch) Observe(evacuations []Evacuation, inFlight func(target string) int) (left int, empty []Evacuation) {
	emptied := map[string]time.Time{}
	for _, evacuation := range evacuations {
		atZone := evacuation.InFlight(inFlight)
		left += atZone
		known := watch.emptied[evacuation.Zone].Equal(evacuation.Since)
		if atZone == 0 && !known {
			empty = append(empty, evacuation)
		}
		if atZone == 0 || known {
			emptied[evacuation.Zone] = evacuation.Since
		}
	}
	watch.emptied = emptied
	return left, empty
}

// InFlight returns how many requests are in flight at the zone's targets.
func (evacuation Evacuation) InFlight(inFlight func(target string) int) int {
	left := 0
	for _, target := range evacuation.Targets {
		left += inFlight(target)
	}
	return left
}
