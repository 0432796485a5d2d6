// Package platform is a stand-in for the platform: its configuration service and its list of instances.
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one line of the platform's list.
type Instance struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Platform serves published values and counts calls. It is safe for concurrent use.
type Platform struct {
	mu sync.Mutex
	// values holds all published values, the oldest first.
	values []value
	// instances is the present list.
	instances []Instance
	// calls counts the calls of the configuration service, a waiting watch as one.
	calls int
	// down makes every call fail.
	down bool
	// stale, above zero, hides newer revisions.
	stale int64
	// delay is the time that each answer is held.
	delay time.Duration
	// partial cuts each value off in the middle.
	partial bool
	// changed is closed at each change.
	changed chan struct{}
}

// value is one published value.
type value struct {
	revision int64
	data     []byte
}

// New returns a Platform that has published nothing.
func New() *Platform {
	return &Platform{changed: make(chan struct{})}
}

// Publish makes a value known under a revision, whether it is valid or not.
func (p *Platform) Publish(revision int64, data []byte) {
	p.change(func() { p.values = append(p.values, value{revision: revision, data: data}) })
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances []Instance) {
	p.change(func() { p.instances = instances })
}

// SetDown makes every call fail, or lets calls succeed again.
func (p *Platform) SetDown(down bool) {
	p.change(func() { p.down = down })
}

// SetMaxRevision hides revisions above a limit; zero hides none.
func (p *Platform) SetMaxRevision(revision int64) {
	p.change(func() { p.stale = revision })
}

// Calls returns the number of calls so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", p.configuration)
	mux.HandleFunc("GET /v1/instances", p.list)
	return mux
}

// configuration answers a watch: at once if there is a newer revision, else after a wait.
func (p *Platform) configuration(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		newest, changed, down, delay, partial := p.newest(), p.changed, p.down, p.delay, p.partial
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case newest.revision > after || newest.revision > 0 && newest.revision < after:
			// A stale service offers an older value to a reader that knows a newer one.
			w.Header().Set("Revision", strconv.FormatInt(newest.revision, 10))
			hold(r.Context(), delay)
			send(w, newest.data, partial)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-changed:
		}
	}
}

// newest returns the value that readers see; mu is held.
func (p *Platform) newest() (v value) {
	for _, next := range p.values {
		if p.stale > 0 && next.revision > p.stale {
			continue
		}
		v = next
	}
	return v
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(p.instances)
}
