package registry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/registry"
)

// benchTargets is the number of targets of a large deployment.
const benchTargets = 145

func newFilledRegistry() *registry.Registry {
	targets := registry.New(logr.Discard())
	for index := range benchTargets {
		targets.Put(mimosatide.Instance{ID: fmt.Sprintf("i-%d", index), Service: "llm", Born: time.UnixMilli(7)})
	}
	return targets
}

// change updates the holdings of one target.
func change(targets *registry.Registry, iteration int) {
	targets.SetHoldings(registry.ReportedHoldings{
		Instance: fmt.Sprintf("i-%d", iteration%benchTargets), Born: time.UnixMilli(7), Orders: int64(iteration),
	})
}

// BenchmarkChange measures a change after which the view is not read.
func BenchmarkChange(b *testing.B) {
	targets := newFilledRegistry()
	b.ReportAllocs()
	for iteration := range b.N {
		change(targets, iteration)
	}
}

// BenchmarkChangeAndView measures a change and the rebuilding of the view.
func BenchmarkChangeAndView(b *testing.B) {
	targets := newFilledRegistry()
	b.ReportAllocs()
	for iteration := range b.N {
		change(targets, iteration)
		targets.View()
	}
}
