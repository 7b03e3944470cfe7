package fleet

import (
	"time"

	"mimosatide.example/mimosatide"
)

// hostWatch tracks the members whose hosts are missing from the platform's list.
type hostWatch struct {
	// missing holds the time at which a member's host was first absent from the list.
	missing map[mimosatide.Member]time.Duration
}

func (watch *hostWatch) observe(now time.Duration, members []mimosatide.Member, hosts []mimosatide.Host) {
	present := map[string]bool{}
	for _, host := range hosts {
		present[host.Name] = true
	}
	for _, member := range members {
		if member.Host == "" || present[member.Host] {
			delete(watch.missing, member)
			continue
		}
		if _, already := watch.missing[member]; !already {
			watch.missing[member] = now
		}
	}
}

// gone reports whether the member's host has been absent for longer than lag, by
// which the list may trail behind.
func (watch *hostWatch) gone(now, lag time.Duration, member mimosatide.Member) bool {
	since, missing := watch.missing[member]
	return missing && now-since > lag
}

// firstGone returns the first member, by address, whose host is gone.
func (watch *hostWatch) firstGone(now, lag time.Duration, members map[string]mimosatide.Member) (mimosatide.Member, bool) {
	var first mimosatide.Member
	found := false
	for member := range watch.missing {
		present := members[member.Address] == member
		if present && watch.gone(now, lag, member) && (!found || member.Address < first.Address) {
			first, found = member, true
		}
	}
	return first, found
}
