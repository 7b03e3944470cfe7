package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosatide.example/mimosatide"
)

// The bounds of crash suspects.
const (
	// maxCrashes is the number of crashed targets after which a request is not sent again.
	maxCrashes = 2
	// crashMemory is how long a request is remembered after its last crash.
	crashMemory = 30 * time.Second
)

type crash struct {
	count int
	at    time.Time
}

// Suspects knows the requests at whose start targets crashed. A caller sends such
// a request again under another id, so that it is known by its content.
type Suspects struct {
	lock  sync.Mutex
	own   map[uint64]crash
	peers map[string]map[uint64]int
}

// NewSuspects returns a list of no suspects.
func NewSuspects() *Suspects {
	return &Suspects{own: map[uint64]crash{}, peers: map[string]map[uint64]int{}}
}

// contentDigest is the digest of what makes a request the same one again.
func contentDigest(entry mimosatide.Entry) uint64 {
	digest := xxhash.New()
	for _, part := range []string{entry.Method, entry.Host, entry.Target, entry.Key, entry.Model, entry.Adapter} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\x00")
	}
	_, _ = digest.Write(entry.Body)
	return digest.Sum64()
}

// Crashed notes that a target crashed while it ran a request.
func (suspects *Suspects) Crashed(digest uint64, now time.Time) int {
	suspects.lock.Lock()
	defer suspects.lock.Unlock()
	known := suspects.own[digest]
	suspects.own[digest] = crash{count: known.count + 1, at: now}
	return known.count + 1
}

// Served clears a request that a target has answered.
func (suspects *Suspects) Served(digest uint64) {
	suspects.lock.Lock()
	defer suspects.lock.Unlock()
	delete(suspects.own, digest)
}

// Suspect says whether a request has crashed so many targets that it must not be sent again.
func (suspects *Suspects) Suspect(digest uint64) bool {
	suspects.lock.Lock()
	defer suspects.lock.Unlock()
	count := suspects.own[digest].count
	for _, crashes := range suspects.peers {
		count += crashes[digest]
	}
	return count >= maxCrashes
}

// Own returns the crashes seen by this node, to be told to the others.
func (suspects *Suspects) Own(now time.Time) map[uint64]int {
	suspects.lock.Lock()
	defer suspects.lock.Unlock()
	counts := map[uint64]int{}
	for digest, known := range suspects.own {
		if now.Sub(known.at) > crashMemory {
			delete(suspects.own, digest)
			continue
		}
		counts[digest] = known.count
	}
	return counts
}

// Hear takes the crashes seen by another node.
func (suspects *Suspects) Hear(node string, crashes map[uint64]int) {
	suspects.lock.Lock()
	defer suspects.lock.Unlock()
	if len(crashes) == 0 {
		delete(suspects.peers, node)
		return
	}
	suspects.peers[node] = crashes
}
