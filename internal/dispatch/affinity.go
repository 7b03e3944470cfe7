package dispatch

import "github.com/cespare/xxhash/v2"

const (
	// prefixLength is how many bytes of a request stand for its prefix.
	prefixLength = 512
	maxPrefixes  = 8192
)

// affinity remembers which target has run a prefix last. It is a hint: the
// target may have dropped the prefix from its cache.
type affinity struct {
	targets map[uint64]string
	order   []uint64
}

func newAffinity() *affinity {
	return &affinity{targets: map[uint64]string{}}
}

func prefixOf(request Request) uint64 {
	body := request.Body[:min(len(request.Body), prefixLength)]
	return xxhash.Sum64String(request.Model.Name+" "+request.Adapter) ^ xxhash.Sum64(body)
}

func (memory *affinity) has(request Request, target string) bool {
	return memory.targets[prefixOf(request)] == target
}

func (memory *affinity) note(request Request, target string) {
	prefix := prefixOf(request)
	if _, known := memory.targets[prefix]; !known {
		memory.order = append(memory.order, prefix)
		if len(memory.order) > maxPrefixes {
			delete(memory.targets, memory.order[0])
			memory.order = memory.order[1:]
		}
	}
	memory.targets[prefix] = target
}
