// Package chart parses and runs state charts: a Chart is the validated file, a
// Machine one running instance. Code that changes the state of a request, backend
// server, lease, member, rollout or link (from a holder to its home) takes the next
// state from the chart, so only transitions declared in the chart's file can happen.
package chart

import (
	"bytes"
	"sort"

	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// State and Event are names that a chart's file declares.
type (
	State string
	Event string
)

// Chart is a validated state chart. It is immutable after Parse.
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

// Parse decodes and validates a chart. It fails with BadChart on unknown events,
// unknown target states, unreachable states and states with no path to a final
// state, so that an invalid chart stops the process at startup.
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
	for _, name := range c.stateNames() {
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
	seen := c.reachable(c.Initial)
	for _, name := range c.stateNames() {
		if !seen[name] {
			return failure.New(failure.BadChart, "%s: state %q cannot be reached", c.Name, name)
		}
		if !c.reachesFinal(name) {
			return failure.New(failure.BadChart, "%s: state %q has no way to a final state", c.Name, name)
		}
	}
	return nil
}

func (c *Chart) reachable(from State) map[State]bool {
	seen := map[State]bool{from: true}
	queue := []State{from}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		for _, to := range c.states[s].On {
			if !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	return seen
}

func (c *Chart) reachesFinal(from State) bool {
	for s := range c.reachable(from) {
		if c.states[s].Final {
			return true
		}
	}
	return false
}

func (c *Chart) stateNames() []State {
	names := make([]State, 0, len(c.states))
	for s := range c.states {
		names = append(names, s)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Next returns the target of the transition from a state on e. It fails with
// BadChart if the chart declares no such transition.
func (c *Chart) Next(from State, e Event) (State, error) {
	to, ok := c.states[from].On[e]
	if !ok {
		return from, failure.New(failure.BadChart, "%s: no transition from %q on %q", c.Name, from, e)
	}
	return to, nil
}

// Final reports whether s is a final state.
func (c *Chart) Final(s State) bool { return c.states[s].Final }

// Machine is a running instance of a chart. Its owner serializes access.
type Machine struct {
	chart *Chart
	state State
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.Initial} }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Final reports whether the machine is in a final state.
func (m *Machine) Final() bool { return m.chart.Final(m.state) }

// Fire takes the transition on e. On failure the state does not change.
func (m *Machine) Fire(e Event) error {
	to, err := m.chart.Next(m.state, e)
	if err != nil {
		return err
	}
	m.state = to
	return nil
}
