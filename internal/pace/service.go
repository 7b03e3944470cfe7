package pace

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSamples is the number of targets, or groups of targets, of which the usual ratio of a
	// service is the median.
	maxSamples = 64
	// sampleLifetime is how long a sample counts after its last observation.
	sampleLifetime = 30 * time.Second
	// sampleGain is the least share of a new observation in a sample.
	sampleGain = 0.1
	// unlimitedSteps is the number of first observations of a sample whose effect is not limited:
	// a service that is slow as a whole is to be known as such at once.
	unlimitedSteps = 4
	// medianInterval is the least time between two calculations of the median.
	medianInterval = 100 * time.Millisecond
	// usualSpread is the mean absolute deviation of observations up to which they count fully. The
	// time of a plain service differs more, by what is asked of it.
	usualSpread = 0.5
	// maxSpread limits the deviation that counts, so that a stall doesn't dull the tracker.
	maxSpread  = 1.5
	spreadGain = 0.05
	// spreadWaiting is by how much a waiting request has to exceed the usual time for each unit
	// of the spread beyond usualSpread.
	spreadWaiting = 2
	// serviceLifetime is how long a service without observations is remembered.
	serviceLifetime = time.Minute
)

// sample is the average ratio of the targets that share it.
type sample struct {
	ratio float64
	count int
	at    time.Time
}

// service knows the usual ratio between the actual and the expected times of a service's
// requests. All ratios are binary logarithms.
type service struct {
	samples [maxSamples]sample
	// ratio is the median of the samples at medianAt. Of two targets, the faster one is the usual.
	ratio    float64
	medianAt time.Time
	// spread is the mean absolute deviation of observations from what was known of their target.
	spread float64
	// at is when the last observation was added.
	at time.Time
}

// service returns a service's state; nil if too many services are known.
func (tracker *Tracker) service(name string) *service {
	known, found := tracker.services[name]
	if !found && len(tracker.services) < maxServices {
		known = &service{spread: usualSpread}
		tracker.services[name] = known
	}
	return known
}

// known reports whether there was an observation.
func (service *service) known() bool {
	return !service.at.IsZero()
}

// add adds an observation at a target to its sample. Each target has the same weight in the
// median, so that one that gets most requests, or those of a model of its own, is not the usual.
func (service *service) add(id string, ratio float64, now time.Time) {
	entry := &service.samples[xxhash.Sum64String(id)%maxSamples]
	if now.Sub(entry.at) > sampleLifetime {
		*entry = sample{}
		service.medianAt = time.Time{}
	}
	entry.count++
	step := ratio - entry.ratio
	if entry.count > unlimitedSteps {
		step = min(max(step, -maxStep), maxStep)
	}
	entry.ratio += step * max(1/float64(entry.count), sampleGain)
	entry.at, service.at = now, now
	if now.Sub(service.medianAt) >= medianInterval {
		service.ratio, service.medianAt = service.median(now), now
	}
}

// median returns the median of the current samples, of an even number the lower one.
func (service *service) median(now time.Time) float64 {
	var ratios [maxSamples]float64
	count := 0
	for index := range service.samples {
		entry := &service.samples[index]
		if entry.count > 0 && now.Sub(entry.at) <= sampleLifetime {
			ratios[count] = entry.ratio
			count++
		}
	}
	slices.Sort(ratios[:count])
	return ratios[(count-1)/2]
}

// addSpread adds the difference between an observation and what was known of its target.
func (service *service) addSpread(difference float64) {
	difference = min(max(difference, -difference), maxSpread)
	service.spread += spreadGain * (difference - service.spread)
}

// gain returns the share of a new observation in the average of a target: the less, the more
// the observations differ without a difference between the targets.
func (service *service) gain() float64 {
	return gain * min(1, usualSpread/service.spread)
}

// excessSpread returns by how much more than usual a request has to wait before it counts.
func (service *service) excessSpread() float64 {
	return spreadWaiting * max(service.spread-usualSpread, 0)
}
