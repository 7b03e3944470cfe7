// Package chart interprets state charts that are kept in files.
//
// A file names the states of a life cycle and the transitions between them. A
// transition that the file doesn't name is a broken invariant.
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

// State is the name of a state.
type State string

// Event is the name of an event that changes a state.
type Event string

// Chart is the immutable transition table of one life cycle.
type Chart struct {
	name    string
	initial State
	next    map[step]State
}

type step struct {
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

// Load reads a chart from the bytes of its file.
func Load(data []byte) (*Chart, error) {
	var file chartFile
	if err := json.Unmarshal(data, &file); err != nil {
		return nil, errors.Annotate(err, "state chart")
	}
	if file.Initial == "" || len(file.Transitions) == 0 {
		return nil, errors.NotValidf("state chart %q without states", file.Name)
	}
	chart := &Chart{name: file.Name, initial: State(file.Initial), next: map[step]State{}}
	machine := fsm.NewFSM(file.Initial, events(file), nil)
	for _, transition := range file.Transitions {
		for _, from := range transition.From {
			if err := chart.learn(machine, from, transition.Event); err != nil {
				return nil, errors.Trace(err)
			}
		}
	}
	return chart, nil
}

// MustLoad reads a chart that is part of the program.
func MustLoad(data []byte) *Chart {
	chart, err := Load(data)
	if err != nil {
		panic(invariant.Broken{Message: err.Error()})
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

// learn records where the machine goes from a state, so that Next needs no machine of its own.
func (chart *Chart) learn(machine *fsm.FSM, from, event string) error {
	key := step{from: State(from), event: Event(event)}
	if _, twice := chart.next[key]; twice {
		return errors.NotValidf("state chart %s: two transitions for %s in %s", chart.name, event, from)
	}
	machine.SetState(from)
	err := machine.Event(context.Background(), event)
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return errors.Annotatef(err, "state chart %s", chart.name)
	}
	chart.next[key] = State(machine.Current())
	return nil
}

// Initial returns the state in which a life cycle begins.
func (chart *Chart) Initial() State {
	return chart.initial
}

// Can says whether the event is defined in the state.
func (chart *Chart) Can(state State, event Event) bool {
	_, defined := chart.next[step{from: state, event: event}]
	return defined
}

// Next returns the state after the event; an undefined event is a broken invariant.
func (chart *Chart) Next(state State, event Event) State {
	next, defined := chart.next[step{from: state, event: event}]
	invariant.Check(defined, "chart %s has no event %s in state %s", chart.name, event, state)
	return next
}
