package dispatch

import "github.com/cespare/xxhash/v2"

const (
	// prefixBytes is the length of the body prefix that is hashed.
	prefixBytes = 512
	maxPrefixes = 8192
)

// affinity maps request prefixes to the target that last ran a request with the
// prefix. It is a hint: the target may have evicted the prefix from its cache.
// It keeps maxPrefixes prefixes and evicts the one that was added first.
type affinity struct {
	targets map[uint64]string
	// order holds the prefix hashes in the order in which they were added.
	order []uint64
}

func newAffinity() *affinity {
	return &affinity{targets: map[uint64]string{}}
}

// prefixHash returns the hash of a request's model, adapter and body prefix.
func prefixHash(request Request) uint64 {
	body := request.Body[:min(len(request.Body), prefixBytes)]
	return xxhash.Sum64String(request.Model.Name+" "+request.Adapter) ^ xxhash.Sum64(body)
}

func (affinity *affinity) has(request Request, target string) bool {
	return affinity.targets[prefixHash(request)] == target
}

func (affinity *affinity) record(request Request, target string) {
	prefix := prefixHash(request)
	if _, known := affinity.targets[prefix]; !known {
		affinity.order = append(affinity.order, prefix)
		if len(affinity.order) > maxPrefixes {
			delete(affinity.targets, affinity.order[0])
			affinity.order = affinity.order[1:]
		}
	}
	affinity.targets[prefix] = target
}
