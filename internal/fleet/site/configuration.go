package site

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of what operators want; it is never changed after Index.
type Configuration struct {
	// Version rises with each configuration, in uneven steps.
	Version int64
	// Routes are in no special order.
	Routes []Route
	// Services are the known services by name.
	Services map[string]*Service
	// Workspaces holds the owner of each key.
	Workspaces map[string]Workspace
	// RequiresKeys tells that requests on routes that are not public need a key.
	RequiresKeys bool
	// Body is the largest body of a request in bytes.
	Body int64

	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]*Route
}

// Route is one kind of request.
type Route struct {
	Name, Host, Prefix string
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the time within which an answer, or its first event, is on time.
	Goal time.Duration
	// Gap is the longest pause between two events of an answer that is on time.
	Gap time.Duration
	// Priority is the rank of the route; zero is first.
	Priority int
	// Attempts is the largest number of targets that run one request.
	Attempts int
	// Services share the route's requests by weight.
	Services []Share
	// Public tells that no key is needed.
	Public bool
	// Stream tells that the answer is a series of events.
	Stream bool
	// Resumable tells that a stream may go on at another target.
	Resumable bool
	// Idempotent tells that a request may run more than once.
	Idempotent bool
}

// Share is the part of a service in a route.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Service is what the configuration says of a service.
type Service struct {
	Name string
	// Step is the time of a token step of an engine without work, or zero for a plain service.
	Step time.Duration
	// Sequence is added to a step for each request that is writing.
	Sequence time.Duration
	// Stride is the number of token steps in a pass.
	Stride int
	// Experts describes the experts of the service's groups.
	Experts Experts
}

// Grouped reports whether the service's engines are ranks of a group.
func (s *Service) Grouped() bool {
	return s != nil && s.Experts.Sets > 0
}

// Experts describes the experts of a group.
type Experts struct {
	// Sets is the number of sets of layers with an expert map each.
	Sets int
	// Count is the number of experts in a set.
	Count int
	// Places is the number of experts that a rank can hold in a set.
	Places int
	// Spare is the largest number of experts in a set that one preparation may add to a rank.
	Spare int
	// Share is the part of a token's work that experts do.
	Share float64
}

// Workspace is the owner of a key.
type Workspace struct {
	Name string
	// Priority goes before the route's, unless it is nil.
	Priority *int
}

// Target is what is published of one target.
type Target struct {
	// ID with StartUnixMilli names the incarnation.
	ID             string
	StartUnixMilli int64
	// Service is the name of the service.
	Service string
	// Address is where the target serves.
	Address netip.AddrPort
	// Centre is the name of the data centre.
	Centre string
	// Width is the number of requests that it runs at once.
	Width int
	// Leaving tells that it takes no new work.
	Leaving bool
}

// Index prepares the look-up of routes.
func (c *Configuration) Index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Service returns a service by name; one that is not described is a plain service.
func (c *Configuration) Service(name string) *Service {
	if s := c.Services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// Match returns the route of a request, or nil.
func (c *Configuration) Match(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
