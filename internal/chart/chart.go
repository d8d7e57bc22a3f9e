// Package chart loads state charts from files and interprets them. Code that
// changes the state of a request, a backend server, a lease or a member asks
// its chart for the next state, so a transition that the file does not name
// cannot happen.
package chart

import (
	"bytes"
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// State and Event are names declared in a chart's file.
type (
	State string
	Event string
)

// Chart is one checked state chart. It is immutable after Parse.
type Chart struct {
	Name    string
	Initial State
	states  map[State]stateDef
	events  map[Event]bool
}

type stateDef struct {
	Final bool            `yaml:"final"`
	On    map[Event]State `yaml:"on"`
	Doc   string          `yaml:"doc"`
}

type document struct {
	Name    string             `yaml:"name"`
	Initial State              `yaml:"initial"`
	Events  []Event            `yaml:"events"`
	States  map[State]stateDef `yaml:"states"`
}

// Parse reads and checks a chart. It refuses unknown events, targets that do
// not exist, states that cannot be reached and states without a way to a
// final state, so a damaged chart stops the process at its start.
func Parse(text []byte) (*Chart, error) {
	var doc document
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&doc); err != nil {
		return nil, failure.Wrap(failure.BadChart, err, "decode chart")
	}
	c := &Chart{Name: doc.Name, Initial: doc.Initial, states: doc.States, events: map[Event]bool{}}
	for _, e := range doc.Events {
		c.events[e] = true
	}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Chart) check() error {
	if _, ok := c.states[c.Initial]; !ok {
		return failure.New(failure.BadChart, "%s: initial state %q does not exist", c.Name, c.Initial)
	}
	used := map[Event]bool{}
	for _, name := range c.names() {
		if err := c.checkState(name, used); err != nil {
			return err
		}
	}
	for e := range c.events {
		if !used[e] {
			return failure.New(failure.BadChart, "%s: event %q is declared and never used", c.Name, e)
		}
	}
	return c.checkReachable()
}

func (c *Chart) checkState(name State, used map[Event]bool) error {
	def := c.states[name]
	if def.Final != (len(def.On) == 0) {
		return failure.New(failure.BadChart, "%s: state %q must be final or have a way out, not both", c.Name, name)
	}
	for e, to := range def.On {
		if !c.events[e] {
			return failure.New(failure.BadChart, "%s: state %q uses unknown event %q", c.Name, name, e)
		}
		if _, ok := c.states[to]; !ok {
			return failure.New(failure.BadChart, "%s: state %q leads to unknown state %q", c.Name, name, to)
		}
		used[e] = true
	}
	return nil
}

func (c *Chart) checkReachable() error {
	seen := c.reach(c.Initial)
	for _, name := range c.names() {
		if !seen[name] {
			return failure.New(failure.BadChart, "%s: state %q cannot be reached", c.Name, name)
		}
		if !c.reachesFinal(name) {
			return failure.New(failure.BadChart, "%s: state %q has no way to a final state", c.Name, name)
		}
	}
	return nil
}

func (c *Chart) reach(from State) map[State]bool {
	seen := map[State]bool{from: true}
	todo := []State{from}
	for len(todo) > 0 {
		s := todo[0]
		todo = todo[1:]
		for _, to := range c.states[s].On {
			if !seen[to] {
				seen[to] = true
				todo = append(todo, to)
			}
		}
	}
	return seen
}

func (c *Chart) reachesFinal(from State) bool {
	for s := range c.reach(from) {
		if c.states[s].Final {
			return true
		}
	}
	return false
}

func (c *Chart) names() []State {
	names := make([]State, 0, len(c.states))
	for s := range c.states {
		names = append(names, s)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Next returns the state that event leads to, or a BadChart failure when the
// chart names no such transition.
func (c *Chart) Next(from State, e Event) (State, error) {
	to, ok := c.states[from].On[e]
	if !ok {
		return from, failure.New(failure.BadChart, "%s: no transition from %q on %q", c.Name, from, e)
	}
	return to, nil
}

// Final reports whether s ends the chart.
func (c *Chart) Final(s State) bool { return c.states[s].Final }

// Machine is one instance of a chart. Its owner guards it.
type Machine struct {
	chart *Chart
	state State
}

// Start makes a machine in the chart's initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the machine has ended.
func (m *Machine) Final() bool { return m.chart.Final(m.state) }

// Fire takes the transition on e; on failure the state stays as it was.
func (m *Machine) Fire(e Event) error {
	to, err := m.chart.Next(m.state, e)
	if err != nil {
		return err
	}
	m.state = to
	return nil
}
