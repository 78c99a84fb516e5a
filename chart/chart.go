package chart

import (
	"embed"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/juju/errors"
)

//go:embed *.json
var files embed.FS

// State names a state of a chart. The empty state stands for the initial one.
type State string

// Event names an event of a chart.
type Event string

// Chart is one life cycle. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]node
}

// node is one state of a chart.
type node struct {
	// Doc says in a sentence what holds in the state.
	Doc string
	// Final tells that the life cycle ends here; On is then empty.
	Final bool
	// On gives the next state for each event.
	On map[Event]State
}

// file is the form of a chart in its file.
type file struct {
	Name    string
	Initial State
	Events  []Event
	States  map[State]node
}

// Load reads the chart with the given name and checks it.
func Load(name string) (*Chart, error) {
	data, err := files.ReadFile(name + ".json")
	if err != nil {
		return nil, errors.NotFoundf("chart %q", name)
	}
	return Parse(data)
}

// MustLoad is Load for charts that are part of the program; it panics on error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Names lists the charts of this package.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		return nil
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name()[:len(e.Name())-len(".json")])
	}
	return names
}

// Parse reads a chart from JSON. It reports a state that cannot be reached, a
// target that is not listed, an event that no state takes or that is not
// declared, a state without an exit that is not final, and a final state with
// an exit.
func Parse(data []byte) (*Chart, error) {
	var f file
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, errors.Annotate(err, "chart")
	}
	if faults := f.faults(); len(faults) > 0 {
		return nil, errors.NotValidf("chart %s: %s", f.Name, faults[0])
	}
	return &Chart{name: f.Name, initial: f.Initial, states: f.States}, nil
}

// Next returns the state that follows from on event.
func (c *Chart) Next(from State, event Event) (State, error) {
	if from == "" {
		from = c.initial
	}
	to, ok := c.states[from].On[event]
	if !ok {
		return from, errors.NotValidf("event %s in state %s of %s", event, from, c.name)
	}
	return to, nil
}

// Initial returns the state in which the life cycle begins.
func (c *Chart) Initial() State { return c.initial }

// Final reports whether the life cycle ends in state s.
func (c *Chart) Final(s State) bool { return c.states[s].Final }

// Accepts reports whether state s lists the event.
func (c *Chart) Accepts(s State, event Event) bool {
	if s == "" {
		s = c.initial
	}
	_, ok := c.states[s].On[event]
	return ok
}

func (f file) faults() []string {
	var faults []string
	if _, ok := f.States[f.Initial]; !ok {
		faults = append(faults, fmt.Sprintf("initial state %q is not listed", f.Initial))
	}
	taken := map[Event]bool{}
	for name, n := range f.States {
		faults = append(faults, f.nodeFaults(name, n, taken)...)
	}
	for _, e := range f.Events {
		if !taken[e] {
			faults = append(faults, fmt.Sprintf("event %q is taken in no state", e))
		}
	}
	reached := f.reachableStates()
	for name := range f.States {
		if !reached[name] {
			faults = append(faults, fmt.Sprintf("state %q cannot be reached", name))
		}
	}
	slices.Sort(faults)
	return faults
}

func (f file) nodeFaults(name State, n node, taken map[Event]bool) []string {
	var faults []string
	if n.Final != (len(n.On) == 0) {
		faults = append(faults, fmt.Sprintf("state %q must be final or have an exit, not both", name))
	}
	for event, to := range n.On {
		taken[event] = true
		if !slices.Contains(f.Events, event) {
			faults = append(faults, fmt.Sprintf("event %q of state %q is not declared", event, name))
		}
		if _, ok := f.States[to]; !ok {
			faults = append(faults, fmt.Sprintf("state %q goes to %q, which is not listed", name, to))
		}
	}
	return faults
}

// reachableStates returns the states that can be reached from the initial one.
func (f file) reachableStates() map[State]bool {
	reached := map[State]bool{f.Initial: true}
	pending := []State{f.Initial}
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		for _, to := range f.States[s].On {
			if !reached[to] {
				reached[to] = true
				pending = append(pending, to)
			}
		}
	}
	return reached
}
