package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

// benchTargets is the number of targets of the grown marketplace.
const benchTargets = 145

func filled() *registry.Registry {
	targets := registry.New(logr.Discard())
	for index := range benchTargets {
		targets.Put(mimosatide.Instance{ID: fmt.Sprintf("i-%d", index), Service: "llm", Born: time.UnixMilli(7)})
	}
	return targets
}

func change(targets *registry.Registry, turn int) {
	targets.Place(registry.Placement{
		Instance: fmt.Sprintf("i-%d", turn%benchTargets), Born: time.UnixMilli(7), Orders: int64(turn),
	})
}

// BenchmarkChange is the cost of a change that nobody looks at.
func BenchmarkChange(b *testing.B) {
	targets := filled()
	b.ReportAllocs()
	for turn := range b.N {
		change(targets, turn)
	}
}

// BenchmarkChangeAndView is the cost of a change and of the picture after it.
func BenchmarkChangeAndView(b *testing.B) {
	targets := filled()
	b.ReportAllocs()
	for turn := range b.N {
		change(targets, turn)
		targets.View()
	}
}
