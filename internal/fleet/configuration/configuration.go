// Package configuration holds the configuration that the platform publishes and the rules for accepting it.
package configuration

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

// Kind is what a target runs.
type Kind string

// The kinds of targets.
const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is a plain request service.
	KindService Kind = "service"
)

// Configuration is one revision of the published configuration.
type Configuration struct {
	// Format is "MAJOR.MINOR"; a newer minor version may have keys that are unknown here.
	Format string `json:"format"`
	// Revision is above zero and never decreases in a process.
	Revision int64 `json:"revision"`
	// Author names who published the revision.
	Author string `json:"author,omitempty"`
	// Centres are the data centres; their names are unique.
	Centres []Centre `json:"centres"`
	// Entries are the entry instances; their names are unique.
	Entries []Entry `json:"entries"`
	// Targets are the target instances; their names are unique.
	Targets []Target `json:"targets"`
	// Groups are the expert-parallel groups; their names are unique.
	Groups []Group `json:"groups,omitempty"`
	// Workspaces are the customers; their names are unique.
	Workspaces []Workspace `json:"workspaces"`
	// Routes map request paths to pools of targets; their prefixes are unique.
	Routes []Route `json:"routes"`

	// warnings are the unknown keys of a newer minor format.
	warnings document.Faults
	// names is the index by name; it is nil until the configuration was read and checked.
	names *nameIndex
}

// Centre is a data centre.
type Centre struct {
	// Name is not empty.
	Name string `json:"name"`
	// Watts is the power cap of the site; zero means no cap.
	Watts int64 `json:"watts,omitempty"`
}

// Entry is an entry instance.
type Entry struct {
	// Name is not empty.
	Name string `json:"name"`
	// Centre is the name of a configured data centre.
	Centre string `json:"centre"`
	// Address is where the entry serves other processes.
	Address netip.AddrPort `json:"address"`
}

// Target is a target instance: a model engine or a plain service with its slot.
type Target struct {
	// Name is not empty.
	Name string `json:"name"`
	// Centre is the name of a configured data centre.
	Centre string `json:"centre"`
	// Kind is one of the declared kinds.
	Kind Kind `json:"kind"`
	// Pool is the name of the pool of targets that serve the same routes.
	Pool string `json:"pool"`
	// Address is where the slot serves other processes.
	Address netip.AddrPort `json:"address"`
	// Width is the number of requests that the engine runs at once; it is above zero.
	Width int `json:"width"`
	// Group is the name of a configured group, or empty.
	Group string `json:"group,omitempty"`
	// Rank is the rank in the group, counted from zero and unique in it.
	Rank int `json:"rank,omitempty"`
	// Watts is the share of the site's cap; the shares of a site sum to at most its cap.
	Watts int64 `json:"watts,omitempty"`
	// Idle is the draw in watts without requests.
	Idle int64 `json:"idle,omitempty"`
	// Draw is the additional draw in watts of each running request.
	Draw int64 `json:"draw,omitempty"`
}

// Group is an expert-parallel group whose ranks advance in lock-step.
type Group struct {
	// Name is not empty.
	Name string `json:"name"`
	// Experts is the number of experts in a layer.
	Experts int `json:"experts"`
	// Hold is set if the engines can stop at a given step.
	Hold bool `json:"hold,omitempty"`
	// Price is the cost of moving one expert, in steps: the move must save at least the time of that many steps.
	Price float64 `json:"price,omitempty"`
}

// Workspace is a customer with its limits.
type Workspace struct {
	// Name is not empty.
	Name string `json:"name"`
	// Rate is the limit in requests per second; zero means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests above the rate that may arrive at once.
	Burst int `json:"burst,omitempty"`
	// Weight is the share under contention relative to other workspaces; zero means one.
	Weight int `json:"weight,omitempty"`
	// Priority orders workspaces under overload; a higher value goes first.
	Priority int `json:"priority,omitempty"`
}

// Route maps a request path to a pool of targets.
type Route struct {
	// Name is not empty.
	Name string `json:"name"`
	// Prefix is the start of the request path; the longest matching prefix wins.
	Prefix string `json:"prefix"`
	// Pool is the name of a pool with at least one target.
	Pool string `json:"pool"`
	// Once marks calls that must run at most once.
	Once bool `json:"once,omitempty"`
	// Stream marks answers that are sent as a stream of events.
	Stream bool `json:"stream,omitempty"`
	// Timeout is the longest time to the complete answer.
	Timeout Duration `json:"timeout"`
}

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Match returns the route with the longest prefix of a path.
func (c *Configuration) Match(path string) (route Route, ok bool) {
	for _, r := range c.Routes {
		if len(path) < len(r.Prefix) || path[:len(r.Prefix)] != r.Prefix {
			continue
		}
		if !ok || len(r.Prefix) > len(route.Prefix) {
			route, ok = r, true
		}
	}
	return route, ok
}
