package gateway

import "sync"

// The figures of the repeat budget, as parts of the bounds that the fleet has to keep together.
const (
	// repeatRatioPart leaves room for requests that a window counts on one side only.
	repeatRatioPart = 0.75
	// repeatSlackPart is one node's part of the slack; a fleet of more nodes has more slack.
	repeatSlackPart = 1.0 / 16
)

// Repeats bounds the repeats of each service's requests. A node may repeat a
// part of the requests that it took itself, so that the sum over all nodes
// holds without their talking.
type Repeats struct {
	ratio  float64
	slack  float64
	lock   sync.Mutex
	tokens map[string]float64
}

// NewRepeats returns a budget from the bounds on all nodes together.
func NewRepeats(ratio, slack float64) *Repeats {
	return &Repeats{
		ratio:  ratio * repeatRatioPart,
		slack:  max(slack*repeatSlackPart, 1),
		tokens: map[string]float64{},
	}
}

// Request counts a request for a service.
func (repeats *Repeats) Request(service string) {
	repeats.lock.Lock()
	defer repeats.lock.Unlock()
	repeats.tokens[service] = min(repeats.level(service)+repeats.ratio, repeats.slack)
}

// Take takes one repeat of a service's requests, if there is one left.
func (repeats *Repeats) Take(service string) bool {
	repeats.lock.Lock()
	defer repeats.lock.Unlock()
	level := repeats.level(service)
	if level < 1 {
		return false
	}
	repeats.tokens[service] = level - 1
	return true
}

func (repeats *Repeats) level(service string) float64 {
	level, found := repeats.tokens[service]
	if !found {
		return repeats.slack / 2
	}
	return level
}
