package site

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the operators' configuration; it does not change after Index.
type Configuration struct {
	// Version increases with each configuration, by different amounts.
	Version int64
	// Routes are in no particular order.
	Routes []Route
	// Services holds the configured services by name.
	Services map[string]*Service
	// Workspaces holds the workspace of each API key.
	Workspaces map[string]Workspace
	// RequiresKeys is set if requests on routes that are not public need an API key.
	RequiresKeys bool
	// Source is the configuration as it was published.
	Source []byte
	// Body is the largest request body in bytes.
	Body int64

	// routesByHost holds the routes of each host, the longest prefix first.
	routesByHost map[string][]*Route
}

// Route matches requests by host and path prefix and says how to handle them.
type Route struct {
	Name, Host, Prefix string
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the time within which an answer, or the first event of a stream, is on time.
	Goal time.Duration
	// Gap is the longest gap between two events of a stream that is on time.
	Gap time.Duration
	// Priority is the priority of the route; zero is the highest.
	Priority int
	// Attempts is the largest number of targets that may run a request.
	Attempts int
	// Services receive the route's requests by weight.
	Services []Share
	// Public is set if no API key is needed.
	Public bool
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Resumable is set if a stream may continue at another target.
	Resumable bool
	// Idempotent is set if a request may run more than once.
	Idempotent bool
}

// Share is a service's share of the requests of a route.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Service is the configuration of a service.
type Service struct {
	Name string
	// Step is the time of a token step of an engine without requests, or zero for a plain service.
	Step time.Duration
	// Sequence is the time that each generating request adds to a step.
	Sequence time.Duration
	// Stride is the number of token steps in a pass, after which each stream gets an event.
	Stride int
	// HealthPath is the path at which an engine of the service tells its ID, or empty.
	HealthPath string
	// Experts describes the experts of the service's groups.
	Experts Experts
	// Cold describes the targets after a start.
	Cold Cold
}

// Cold describes what targets sustain after a start. The zero value says that they sustain what they do at any other time.
type Cold struct {
	// Time is how long a target is cold after its start.
	Time time.Duration
	// Rate is the number of requests a second that a cold target sustains.
	Rate float64
}

// Limits reports whether cold targets sustain less than others.
func (c Cold) Limits() bool {
	return c.Rate > 0
}

// Grouped reports whether the service's engines are ranks of a group.
func (s *Service) Grouped() bool {
	return s != nil && s.Experts.Sets > 0
}

// Experts describes the experts of a group.
type Experts struct {
	// Sets is the number of sets of layers, each with its own expert map.
	Sets int
	// Count is the number of experts in a set.
	Count int
	// Capacity is the number of experts of a set that a rank can hold.
	Capacity int
	// MaxAdded is the largest number of experts of a set that one preparation may add to a rank.
	MaxAdded int
	// Share is the fraction of a token's computation that is done by experts.
	Share float64
	// LoadTime is the time in which a rank loads one expert; zero if it is not known.
	LoadTime time.Duration
}

// Workspace is the workspace of an API key.
type Workspace struct {
	Name string
	// Priority overrides the route's priority unless it is nil.
	Priority *int
}

// Target is a target as published in the store.
type Target struct {
	// ID and StartUnixMilli identify the incarnation.
	ID             string
	StartUnixMilli int64
	// Created is the revision of the store at which the record was created, or zero if it is not known.
	Created int64
	// Service is the name of the service.
	Service string
	// Address is where the target serves requests.
	Address netip.AddrPort
	// Centre is the name of the data centre.
	Centre string
	// Width is the number of requests that the target runs at once.
	Width int
	// Leaving is set if the target takes no new requests.
	Leaving bool
	// Group is a hash of the name of the group of which the target is a rank, or zero if none is known. It is not in the store.
	Group uint32
	// Pace is the factor by which the target is slower than usual, or zero if it is not known. It is not in the store.
	Pace float64
	// ColdUntil is the time until which the target is cold by its own account, or zero. It is never earlier than what the target
	// meant, since the time that it has left counts from when the record was read.
	ColdUntil time.Time
}

// Index builds the index of routes that Match uses.
func (c *Configuration) Index() {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Service returns a service by name; a service that is not configured is a plain one.
func (c *Configuration) Service(name string) *Service {
	if s := c.Services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// Match returns the route of a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
