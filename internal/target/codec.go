package target

import (
	"encoding/json"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
)

type orderWire struct {
	Kind        string
	Placement   string
	Model       string
	Version     string
	Adapter     string
	MemoryBytes int64
	Number      uint64
}

type orderStateWire struct {
	State string
}

type reportWire struct {
	Placements map[string]string
	Adapters   map[string][]string
	Cached     map[string]string
	Running    int
	Queued     int
	Leaving    bool
}

func encodeOrder(order mimosatide.Order) ([]byte, error) {
	return json.Marshal(orderWire{
		Kind:        string(order.Kind),
		Placement:   order.Placement,
		Model:       order.Model,
		Version:     order.Version,
		Adapter:     order.Adapter,
		MemoryBytes: order.Memory,
		Number:      uint64(order.FencingToken),
	})
}

func decodeOrderState(data []byte) (mimosatide.OrderState, error) {
	var wire orderStateWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return "", errors.Annotate(err, "decode answer to an order")
	}
	return mimosatide.OrderState(wire.State), nil
}

func decodeReport(data []byte) (mimosatide.Report, error) {
	var wire reportWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return mimosatide.Report{}, errors.Annotate(err, "decode report of an engine")
	}
	report := mimosatide.Report{
		Placements: map[string]mimosatide.OrderState{},
		Adapters:   wire.Adapters,
		Cached:     map[string]mimosatide.CacheTier{},
		Running:    wire.Running,
		Queued:     wire.Queued,
		Leaving:    wire.Leaving,
	}
	for placement, state := range wire.Placements {
		report.Placements[placement] = mimosatide.OrderState(state)
	}
	for model, tier := range wire.Cached {
		report.Cached[model] = mimosatide.CacheTier(tier)
	}
	return report, nil
}
