package placement

import (
	_ "embed"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/chart"
	"mimosatide.example/mimosatide/internal/invariant"
)

//go:embed placement.json
var placementFile []byte

var placementChart = chart.MustLoad(placementFile)

// The states of a placement, as named in placement.json.
const (
	Loading   chart.State = "Loading"
	Ready     chart.State = "Ready"
	Unloading chart.State = "Unloading"
	Gone      chart.State = "Gone"
)

// The keys of the table rows that hold placements.
const (
	modelKeyPrefix  = "placement/model/"
	targetKeyPrefix = "placement/target/"
	// StoreKey is the key of the row with the loads from the weight store.
	StoreKey = "placement/store"
)

// ModelKey returns the key of the row with a model's placements.
func ModelKey(model string) string {
	return modelKeyPrefix + model
}

// TargetKey returns the key of the row with an engine's reservations.
func TargetKey(target string) string {
	return targetKeyPrefix + target
}

// Orderer is a process that may send orders for a placement.
type Orderer struct {
	// Address is the address of the node's peer port.
	Address string
	// Incarnation grows with each process at the address; zero before the process has a lease.
	Incarnation uint64
}

// AdapterState is an adapter of a placement; Ready is false while it loads.
type AdapterState struct {
	Name    string
	Version string
	Ready   bool
}

// Placement is one replica of a model at an engine.
type Placement struct {
	ID    string
	Model string
	// Version is the version of the model that is loaded.
	Version string
	Target  string
	State   chart.State
	// FencingToken is that of the placement's newest orders.
	FencingToken mimosatide.FencingToken
	Adapters     []AdapterState
	// Orderers are the processes that may have an order for the placement in flight.
	Orderers []Orderer
	// DecidedUnder is the version of the configuration that the decision was based on.
	DecidedUnder mimosatide.Version
}

// WithEvent returns a copy in the state that follows the event.
func (placement Placement) WithEvent(event chart.Event) Placement {
	placement.State = placementChart.Next(placement.State, event)
	return placement
}

// WithOrderer returns a copy with the process among its orderers and a new fencing token.
func (placement Placement) WithOrderer(orderer Orderer, fencingToken mimosatide.FencingToken) Placement {
	if !slices.Contains(placement.Orderers, orderer) {
		placement.Orderers = append(slices.Clone(placement.Orderers), orderer)
	}
	placement.FencingToken = fencingToken
	return placement
}

// WithAdapter returns a copy with an adapter added or replaced.
func (placement Placement) WithAdapter(adapter AdapterState) Placement {
	placement.Adapters = slices.DeleteFunc(slices.Clone(placement.Adapters), func(known AdapterState) bool {
		return known.Name == adapter.Name
	})
	placement.Adapters = append(placement.Adapters, adapter)
	return placement
}

// FindAdapter returns the state of an adapter of the placement.
func (placement Placement) FindAdapter(name string) (AdapterState, bool) {
	for _, adapter := range placement.Adapters {
		if adapter.Name == name {
			return adapter, true
		}
	}
	return AdapterState{}, false
}

// ModelRow holds all placements of a model.
type ModelRow struct {
	Placements []Placement
}

// With returns a copy in which the placement replaces the one with the same id; a Gone placement is removed.
func (row ModelRow) With(placement Placement) ModelRow {
	kept := slices.DeleteFunc(slices.Clone(row.Placements), func(known Placement) bool {
		return known.ID == placement.ID
	})
	if placement.State != Gone {
		kept = append(kept, placement)
	}
	return ModelRow{Placements: kept}
}

// Reservation is the engine memory that is reserved for a placement.
type Reservation struct {
	Placement string
	// Memory is in bytes.
	Memory int64
}

// TargetRow holds the reservations at one engine.
type TargetRow struct {
	// FencingToken is the newest one issued for the engine.
	FencingToken mimosatide.FencingToken
	Reservations []Reservation
}

// Reserved returns the reserved memory in bytes.
func (row TargetRow) Reserved() int64 {
	sum := int64(0)
	for _, reservation := range row.Reservations {
		sum += reservation.Memory
	}
	return sum
}

// WithNextFencingToken returns a copy with the next fencing token issued.
func (row TargetRow) WithNextFencingToken() TargetRow {
	row.FencingToken++
	return row
}

// WithReservation returns a copy with memory more bytes reserved for the placement.
// It panics if the total exceeds the engine's capacity in bytes.
func (row TargetRow) WithReservation(placement string, memory, capacity int64) TargetRow {
	reservations := slices.Clone(row.Reservations)
	index := slices.IndexFunc(reservations, func(known Reservation) bool { return known.Placement == placement })
	if index < 0 {
		reservations = append(reservations, Reservation{Placement: placement, Memory: memory})
	} else {
		reservations[index].Memory += memory
	}
	row.Reservations = reservations
	invariant.Check(row.Reserved() <= capacity, "reserved memory of %d bytes exceeds the capacity of %d bytes", row.Reserved(), capacity)
	return row
}

// WithoutReservation returns a copy without the placement's reservation.
func (row TargetRow) WithoutReservation(placement string) TargetRow {
	row.Reservations = slices.DeleteFunc(slices.Clone(row.Reservations), func(known Reservation) bool {
		return known.Placement == placement
	})
	return row
}

// StoreLoad is a load in progress from the weight store.
type StoreLoad struct {
	Placement string
	// Adapter is empty for a load of a whole model.
	Adapter string
}

// StoreRow holds the loads in progress from the weight store, across the fleet.
type StoreRow struct {
	Loads []StoreLoad
}

// Models returns how many models are loading.
func (row StoreRow) Models() int {
	count := 0
	for _, load := range row.Loads {
		if load.Adapter == "" {
			count++
		}
	}
	return count
}

// Adapters returns how many adapters are loading.
func (row StoreRow) Adapters() int {
	return len(row.Loads) - row.Models()
}

// With returns a copy with one more load.
func (row StoreRow) With(load StoreLoad) StoreRow {
	return StoreRow{Loads: append(slices.Clone(row.Loads), load)}
}

// Without returns a copy without the load.
func (row StoreRow) Without(load StoreLoad) StoreRow {
	return StoreRow{Loads: slices.DeleteFunc(slices.Clone(row.Loads), func(known StoreLoad) bool { return known == load })}
}

// WithoutPlacement returns a copy without the placement's loads.
func (row StoreRow) WithoutPlacement(placement string) StoreRow {
	return StoreRow{Loads: slices.DeleteFunc(slices.Clone(row.Loads), func(known StoreLoad) bool {
		return known.Placement == placement
	})}
}

type ordererWire struct {
	Address     string
	Incarnation uint64
}

type adapterStateWire struct {
	Name    string
	Version string
	Ready   bool
}

type placementWire struct {
	ID           string
	Model        string
	Version      string
	Target       string
	State        string
	Number       uint64
	Adapters     []adapterStateWire
	Orderers     []ordererWire
	DecidedUnder uint64
}

type modelRowWire struct {
	Placements []placementWire
}

type reservationWire struct {
	Placement   string
	MemoryBytes int64
}

type targetRowWire struct {
	Number       uint64
	Reservations []reservationWire
}

type storeLoadWire struct {
	Placement string
	Adapter   string
}

type storeRowWire struct {
	Loads []storeLoadWire
}

// EncodeModelRow encodes the row of a model's placements.
func EncodeModelRow(row ModelRow) ([]byte, error) {
	wire := modelRowWire{}
	for _, placement := range row.Placements {
		wire.Placements = append(wire.Placements, placementToWire(placement))
	}
	return json.Marshal(wire)
}

// DecodeModelRow decodes the row of a model's placements; an absent row is empty.
func DecodeModelRow(value []byte) (ModelRow, error) {
	var wire modelRowWire
	if err := decodeRow(value, &wire); err != nil {
		return ModelRow{}, errors.Trace(err)
	}
	var row ModelRow
	for _, placement := range wire.Placements {
		row.Placements = append(row.Placements, placementFromWire(placement))
	}
	return row, nil
}

// EncodeTargetRow encodes the row of an engine's reservations.
func EncodeTargetRow(row TargetRow) ([]byte, error) {
	wire := targetRowWire{Number: uint64(row.FencingToken)}
	for _, reservation := range row.Reservations {
		wire.Reservations = append(wire.Reservations, reservationWire{
			Placement:   reservation.Placement,
			MemoryBytes: reservation.Memory,
		})
	}
	return json.Marshal(wire)
}

// DecodeTargetRow decodes the row of an engine's reservations; an absent row is empty.
func DecodeTargetRow(value []byte) (TargetRow, error) {
	var wire targetRowWire
	if err := decodeRow(value, &wire); err != nil {
		return TargetRow{}, errors.Trace(err)
	}
	row := TargetRow{FencingToken: mimosatide.FencingToken(wire.Number)}
	for _, reservation := range wire.Reservations {
		row.Reservations = append(row.Reservations, Reservation{
			Placement: reservation.Placement,
			Memory:    reservation.MemoryBytes,
		})
	}
	return row, nil
}

// EncodeStoreRow encodes the row of the loads from the weight store.
func EncodeStoreRow(row StoreRow) ([]byte, error) {
	wire := storeRowWire{}
	for _, load := range row.Loads {
		wire.Loads = append(wire.Loads, storeLoadWire(load))
	}
	return json.Marshal(wire)
}

// DecodeStoreRow decodes the row of the loads from the weight store; an absent row is empty.
func DecodeStoreRow(value []byte) (StoreRow, error) {
	var wire storeRowWire
	if err := decodeRow(value, &wire); err != nil {
		return StoreRow{}, errors.Trace(err)
	}
	var row StoreRow
	for _, load := range wire.Loads {
		row.Loads = append(row.Loads, StoreLoad(load))
	}
	return row, nil
}

func decodeRow(value []byte, wire any) error {
	if len(value) == 0 {
		return nil
	}
	return errors.Trace(json.Unmarshal(value, wire))
}

func placementToWire(placement Placement) placementWire {
	wire := placementWire{
		ID:           placement.ID,
		Model:        placement.Model,
		Version:      placement.Version,
		Target:       placement.Target,
		State:        string(placement.State),
		Number:       uint64(placement.FencingToken),
		DecidedUnder: uint64(placement.DecidedUnder),
	}
	for _, adapter := range placement.Adapters {
		wire.Adapters = append(wire.Adapters, adapterStateWire(adapter))
	}
	for _, orderer := range placement.Orderers {
		wire.Orderers = append(wire.Orderers, ordererWire(orderer))
	}
	return wire
}

func placementFromWire(wire placementWire) Placement {
	placement := Placement{
		ID:           wire.ID,
		Model:        wire.Model,
		Version:      wire.Version,
		Target:       wire.Target,
		State:        chart.State(wire.State),
		FencingToken: mimosatide.FencingToken(wire.Number),
		DecidedUnder: mimosatide.Version(wire.DecidedUnder),
	}
	for _, adapter := range wire.Adapters {
		placement.Adapters = append(placement.Adapters, AdapterState(adapter))
	}
	for _, orderer := range wire.Orderers {
		placement.Orderers = append(placement.Orderers, Orderer(orderer))
	}
	return placement
}
