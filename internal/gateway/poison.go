package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// The bounds of poison requests.
const (
	// maxCrashes is the number of target crashes from which a request is refused.
	maxCrashes = 2
	// crashRetention is how long a request's crashes are kept after the last one.
	crashRetention = 30 * time.Second
)

type crashCount struct {
	count int
	last  time.Time
}

// CrashTracker counts the target crashes of each request, over all nodes, to detect
// poison requests. A request is identified by the digest of its content, because a
// caller retries it under a new id. It is safe for concurrent use.
type CrashTracker struct {
	lock  sync.Mutex
	own   map[uint64]crashCount
	peers map[string]map[uint64]int
}

// NewCrashTracker returns a tracker without crashes.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{own: map[uint64]crashCount{}, peers: map[string]map[uint64]int{}}
}

// contentDigest returns the digest of everything that a caller's retry has in
// common with the first request.
func contentDigest(request mimosatide.CallerRequest) uint64 {
	digest := xxhash.New()
	for _, part := range []string{request.Method, request.Host, request.Target, request.Key, request.Model, request.Adapter} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(request.Body)
	return digest.Sum64()
}

// RecordCrash counts a crash of a target that ran a request, and returns the number
// of its crashes that this node has seen.
func (tracker *CrashTracker) RecordCrash(digest uint64, now time.Time) int {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	known := tracker.own[digest]
	tracker.own[digest] = crashCount{count: known.count + 1, last: now}
	return known.count + 1
}

// Clear removes the crashes that this node has seen of a request, once a target has answered it.
func (tracker *CrashTracker) Clear(digest uint64) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	delete(tracker.own, digest)
}

// IsPoison reports whether a request has crashed so many targets that it must not be sent again.
func (tracker *CrashTracker) IsPoison(digest uint64) bool {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	count := tracker.own[digest].count
	for _, crashes := range tracker.peers {
		count += crashes[digest]
	}
	return count >= maxCrashes
}

// OwnCrashes returns the number of crashes that this node has seen, by request
// digest, for the other nodes. It removes those older than crashRetention.
func (tracker *CrashTracker) OwnCrashes(now time.Time) map[uint64]int {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	counts := map[uint64]int{}
	for digest, known := range tracker.own {
		if now.Sub(known.last) > crashRetention {
			delete(tracker.own, digest)
			continue
		}
		counts[digest] = known.count
	}
	return counts
}

// SetPeerCrashes replaces the crashes seen by another node.
func (tracker *CrashTracker) SetPeerCrashes(node string, crashes map[uint64]int) {
	tracker.lock.Lock()
	defer tracker.lock.Unlock()
	if len(crashes) == 0 {
		delete(tracker.peers, node)
		return
	}
	tracker.peers[node] = crashes
}
