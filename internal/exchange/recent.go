package exchange

import "github.com/cespare/xxhash/v2"

// maxRecentRequests is how many requests a connection remembers. A copy of an answer comes
// where one of the next answers is due.
const maxRecentRequests = 64

// recentRequests holds the digests of the IDs of the latest requests; those without an ID are
// not remembered. Two IDs with the same digest are taken for the same.
type recentRequests struct {
	digests [maxRecentRequests]uint64
	count   int
}

func (recent *recentRequests) add(request string) {
	if request == "" {
		return
	}
	recent.digests[recent.count%maxRecentRequests] = xxhash.Sum64String(request)
	recent.count++
}

func (recent *recentRequests) has(request string) bool {
	if request == "" {
		return false
	}
	digest := xxhash.Sum64String(request)
	for index := range min(recent.count, maxRecentRequests) {
		if recent.digests[index] == digest {
			return true
		}
	}
	return false
}
