// Package chart interprets state charts that are defined in data files.
package chart

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/tailscale/hujson"
)

// State names a state of a chart.
type State string

// Signal names an event that triggers a transition.
type Signal string

// Chart is a checked state chart.
type Chart struct {
	// Name identifies the chart in errors; it is not empty.
	Name string `json:"name"`
	// Start is the initial state; it is a key of States.
	Start State `json:"start"`
	// States maps each state to its transitions; every successor is a key.
	States map[State]map[Signal]State `json:"states"`
}

// Error reports a signal that a state does not accept.
type Error struct {
	// Chart is the name of the chart.
	Chart string
	// State is the state that was left unchanged.
	State State
	// Signal is the signal that was not accepted.
	Signal Signal
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("chart %s: state %s has no transition for %s", e.Chart, e.State, e.Signal)
}

// Parse reads a chart from JSON with comments and checks that all states it refers to are defined.
func Parse(data []byte) (c *Chart, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "parse state chart")
		}
	}()
	plain, err := hujson.Standardize(slices.Clone(data))
	if err != nil {
		return nil, err
	}
	c = &Chart{}
	if err := json.Unmarshal(plain, c); err != nil {
		return nil, err
	}
	return c, c.check()
}

// MustParse is Parse for embedded charts; it panics on an error.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check() error {
	if c.Name == "" {
		return merry.New("the chart has no name")
	}
	if _, ok := c.States[c.Start]; !ok {
		return merry.Errorf("chart %s: start state %q is not defined", c.Name, c.Start)
	}
	for state, transitions := range c.States {
		for signal, next := range transitions {
			if _, ok := c.States[next]; !ok {
				return merry.Errorf("chart %s: state %s on %s leads to undefined state %q", c.Name, state, signal, next)
			}
		}
	}
	return nil
}

// Next returns the state that follows s on a signal, or s and an Error if there is no such transition.
func (c *Chart) Next(s State, signal Signal) (State, error) {
	next, ok := c.States[s][signal]
	if !ok {
		return s, &Error{Chart: c.Name, State: s, Signal: signal}
	}
	return next, nil
}

// Final reports whether a state has no transitions.
func (c *Chart) Final(s State) bool {
	return len(c.States[s]) == 0
}
