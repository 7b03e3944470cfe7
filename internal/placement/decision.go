package placement

import (
	"time"

	"github.com/juju/errors"

	"mimosatide.example/mimosatide"
	"mimosatide.example/mimosatide/internal/configuration"
)

// TargetState is what the deciding node knows about an engine.
type TargetState struct {
	Spec mimosatide.TargetSpec
	Row  TargetRow
	// Version is the version of Row in the table.
	Version mimosatide.RowVersion
	// Report is the engine's newest report; its contents may be maxReportLag old.
	Report mimosatide.Report
	// Reachable is false when the engine did not answer the last request for a report.
	Reachable bool
	// Leaving engines get no new placements.
	Leaving bool
	// Lost is set when the engine's host has been absent from the platform's host list for
	// longer than the list lags.
	Lost bool
}

// Demand is the demand of all nodes for a model.
type Demand struct {
	// Waiting counts the waiting requests as DemandReport.Waiting does.
	Waiting int
	// Outstanding counts the running requests.
	Outstanding int
	// Adapters counts all waiting requests by the adapter they need.
	Adapters map[string]int
	// Zones splits Waiting by the zone of the requests' node.
	Zones map[string]int
	// Idle is the time since the last request.
	Idle time.Duration
}

// Situation is the input of a decision about one model.
type Situation struct {
	// Model is the zero value when the configuration no longer contains the model.
	Model         mimosatide.Model
	Name          string
	Configuration mimosatide.Version
	Row           ModelRow
	RowVersion    mimosatide.RowVersion
	Targets       []TargetState
	Store         StoreRow
	StoreVersion  mimosatide.RowVersion
	Budget        configuration.WeightStoreBudget
	Demand        Demand
	// Self is this process.
	Self Orderer
	// NewID is the id of the next placement; ids are never reused.
	NewID string
	// Turn is set when a weight store slot is left after the waiting models with a larger stake.
	Turn bool
	// KeepIdle is how long an idle model stays loaded.
	KeepIdle time.Duration
	// Missing are placements that have been absent from the engine's reports for longer than maxReportLag.
	Missing map[string]bool
	// Unloaded are placements that the engine has confirmed not to hold.
	Unloaded map[string]bool
	// Quiesced are placements for which no process can have a load order in flight.
	Quiesced map[string]bool
	// StaleFencingTokens are the newest fencing tokens that engines rejected as stale, by placement.
	StaleFencingTokens map[string]mimosatide.FencingToken
	// EvictRequested are placements whose memory another model needs.
	EvictRequested map[string]bool
}

// Kind is the kind of a decision.
type Kind string

// The kinds of a decision.
const (
	Nothing     Kind = "Nothing"
	LoadModel   Kind = "LoadModel"
	LoadAdapter Kind = "LoadAdapter"
	// Adopt makes this process an orderer of a placement that another process decided.
	Adopt Kind = "Adopt"
	// Renumber gives the orders for a placement a new fencing token.
	Renumber Kind = "Renumber"
	// MarkLoaded and MarkAdapter record that an engine reports a placement or an adapter ready.
	MarkLoaded  Kind = "MarkLoaded"
	MarkAdapter Kind = "MarkAdapter"
	Unload      Kind = "Unload"
	// ReleaseMemory removes an unloaded placement and its reservation.
	ReleaseMemory Kind = "ReleaseMemory"
	// ForgetLost removes a placement whose engine is gone.
	ForgetLost Kind = "ForgetLost"
	// WaitForSlot and WaitForMemory say what a load has to wait for.
	WaitForSlot       Kind = "WaitForSlot"
	WaitForMemory     Kind = "WaitForMemory"
	WaitForQuiescence Kind = "WaitForHarmless"
)

// Candidate is an engine that a decision considered.
type Candidate struct {
	Target string
	// Cost is the expected load time there, with a penalty for a zone without demand.
	Cost time.Duration
	// Excluded is the reason why the engine can't take the model; empty if it can.
	Excluded string
}

// Decision is the next step for a model.
type Decision struct {
	Kind        Kind
	Placement   Placement
	Transaction mimosatide.Transaction
	Reason      string
	Candidates  []Candidate
	// Victims are placements whose eviction would free enough memory; only idle ones are evicted.
	Victims []string
}

// Writes reports whether the decision changes the table.
func (decision Decision) Writes() bool {
	return len(decision.Transaction.Writes) > 0
}

// Decide returns the next step for a model. Steps that complete earlier
// decisions come first, then new loads, then evictions of idle models.
func Decide(situation Situation) (Decision, error) {
	steps := []func(Situation) (Decision, bool, error){
		forgetLost,
		adopt,
		renumber,
		markLoaded,
		markAdapter,
		releaseMemory,
		unloadUnwanted,
		loadModel,
		loadAdapter,
		unloadIdle,
	}
	for _, step := range steps {
		decision, decided, err := step(situation)
		if err != nil {
			return Decision{}, errors.Annotatef(err, "placement of %s", situation.Name)
		}
		if decided {
			return decision, nil
		}
	}
	return Decision{Kind: Nothing}, nil
}

func (situation Situation) findTarget(name string) (TargetState, bool) {
	for _, target := range situation.Targets {
		if target.Spec.Name == name {
			return target, true
		}
	}
	return TargetState{}, false
}

// transactionBuilder collects the row writes of one decision, each on the condition
// that the row still has the version that the decision is based on.
type transactionBuilder struct {
	situation   Situation
	transaction mimosatide.Transaction
	err         error
}

func (situation Situation) newTransaction() *transactionBuilder {
	return &transactionBuilder{situation: situation}
}

func (builder *transactionBuilder) putRow(key string, version mimosatide.RowVersion, value []byte, err error) *transactionBuilder {
	if err != nil {
		builder.err = errors.Trace(err)
		return builder
	}
	builder.transaction.Conditions = append(builder.transaction.Conditions, mimosatide.Condition{Key: key, Version: version})
	builder.transaction.Writes = append(builder.transaction.Writes, mimosatide.Write{Key: key, Value: value})
	return builder
}

func (builder *transactionBuilder) putPlacement(placement Placement) *transactionBuilder {
	value, err := EncodeModelRow(builder.situation.Row.With(placement))
	return builder.putRow(ModelKey(builder.situation.Name), builder.situation.RowVersion, value, err)
}

func (builder *transactionBuilder) putTarget(state TargetState, row TargetRow) *transactionBuilder {
	value, err := EncodeTargetRow(row)
	return builder.putRow(TargetKey(state.Spec.Name), state.Version, value, err)
}

// putStore writes the row only if the number of loads has changed.
func (builder *transactionBuilder) putStore(row StoreRow) *transactionBuilder {
	if len(row.Loads) == len(builder.situation.Store.Loads) {
		return builder
	}
	value, err := EncodeStoreRow(row)
	return builder.putRow(StoreKey, builder.situation.StoreVersion, value, err)
}

func (builder *transactionBuilder) decide(kind Kind, placement Placement, reason string) (Decision, bool, error) {
	decision := Decision{Kind: kind, Placement: placement, Transaction: builder.transaction, Reason: reason}
	return decision, true, builder.err
}

func noDecision() (Decision, bool, error) {
	return Decision{}, false, nil
}
