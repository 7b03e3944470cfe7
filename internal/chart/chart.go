// Package chart loads finite state machines from JSON files.
//
// A file lists the states of a life cycle and the transitions between them.
// Taking a transition that the file does not list is a broken invariant.
//
// # Usage
//
//	//go:embed patch.json
//	var patchFile []byte
//	var patchChart = chart.MustLoad(patchFile)
//
//	state := patchChart.Initial()
//	state = patchChart.Next(state, "Propose")
package chart

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/looplab/fsm"

	"mimosatide.example/mimosatide/internal/invariant"
)

// State is the name of a state in a chart file.
type State string

// Event is the name of an event that triggers a transition.
type Event string

// Chart is the immutable transition table of one life cycle. It is safe for concurrent use.
type Chart struct {
	name    string
	initial State
	next    map[transitionKey]State
}

type transitionKey struct {
	from  State
	event Event
}

type transitionFile struct {
	Event string
	From  []string
	To    string
}

type chartFile struct {
	Name        string
	Initial     string
	Transitions []transitionFile
}

// Load parses a chart file. It returns an error when the JSON is malformed, when
// the initial state or the transitions are missing, or when a state has two
// transitions for one event.
func Load(data []byte) (*Chart, error) {
	var file chartFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, errors.Annotate(err, "decode state chart")
	}
	if file.Initial == "" || len(file.Transitions) == 0 {
		return nil, errors.NotValidf("state chart %q without an initial state or without transitions", file.Name)
	}
	chart := &Chart{name: file.Name, initial: State(file.Initial), next: map[transitionKey]State{}}
	machine := fsm.NewFSM(file.Initial, events(file), nil)
	for _, transition := range file.Transitions {
		for _, from := range transition.From {
			if err := chart.addTransition(machine, from, transition.Event); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return chart, nil
}

// MustLoad parses a chart that is embedded in the program and panics when it is not valid.
func MustLoad(data []byte) *Chart {
	chart, err := Load(data)
	if err != nil {
		panic(invariant.Violation{Message: err.Error()})
	}
	return chart
}

func events(file chartFile) fsm.Events {
	var descriptions fsm.Events
	for _, transition := range file.Transitions {
		descriptions = append(descriptions, fsm.EventDesc{Name: transition.Event, Src: transition.From, Dst: transition.To})
	}
	return descriptions
}

// addTransition records the state that the event leads to, so that Next is a
// table lookup and charts stay immutable.
func (chart *Chart) addTransition(machine *fsm.FSM, from, event string) error {
	key := transitionKey{from: State(from), event: Event(event)}
	if _, duplicate := chart.next[key]; duplicate {
		return errors.NotValidf("state chart %s with two transitions for event %s from state %s", chart.name, event, from)
	}
	machine.SetState(from)
	err := machine.Event(context.Background(), event)
	var unchanged fsm.NoTransitionError
	if err != nil && !errors.As(err, &unchanged) {
		return errors.Annotatef(err, "state chart %s", chart.name)
	}
	chart.next[key] = State(machine.Current())
	return nil
}

// Initial returns the state in which the life cycle starts.
func (chart *Chart) Initial() State {
	return chart.initial
}

// Can reports whether the state has a transition for the event.
func (chart *Chart) Can(state State, event Event) bool {
	_, defined := chart.next[transitionKey{from: state, event: event}]
	return defined
}

// Next returns the state that the event leads to. It panics when the state has
// no transition for the event; see Can.
func (chart *Chart) Next(state State, event Event) State {
	next, defined := chart.next[transitionKey{from: state, event: event}]
	invariant.Check(defined, "chart %s has no event %s in state %s", chart.name, event, state)
	return next
}
