// Package platform implements a fake platform: a configuration service and a list of instances.
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one element of the platform's list of instances.
type Instance struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Platform serves published configuration values and counts the calls. It is safe for concurrent use.
type Platform struct {
	mu sync.Mutex
	// values holds all published values, the oldest first.
	values []value
	// instances is the current list.
	instances []Instance
	// calls counts the calls of the configuration service; a long poll counts once.
	calls int
	// down makes every call fail.
	down bool
	// maxRevision hides newer revisions; zero hides none.
	maxRevision int64
	// delay is the time by which each value is delayed.
	delay time.Duration
	// truncated makes each answer end in the middle of the value.
	truncated bool
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

// Publish publishes a value under a revision; it does not check whether the value is valid.
func (p *Platform) Publish(revision int64, data []byte) {
	p.update(func() { p.values = append(p.values, value{revision: revision, data: data}) })
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances []Instance) {
	p.update(func() { p.instances = instances })
}

// SetDown makes every call fail until it is reset.
func (p *Platform) SetDown(down bool) {
	p.update(func() { p.down = down })
}

// SetMaxRevision hides revisions above a limit, as a replica that lags behind does; zero hides none.
func (p *Platform) SetMaxRevision(revision int64) {
	p.update(func() { p.maxRevision = revision })
}

// Calls returns the number of calls of the configuration service so far.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *Platform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/configuration", p.serveConfiguration)
	mux.HandleFunc("GET /v1/instances", p.serveInstances)
	return mux
}

// serveConfiguration answers a long poll: at once if the latest revision differs from the reader's, otherwise at the
// next change or after the reader's wait.
func (p *Platform) serveConfiguration(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		latest, changed, down, delay, truncated := p.latest(), p.changed, p.down, p.delay, p.truncated
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case latest.revision > after || latest.revision > 0 && latest.revision < after:
			// A stale service returns an older value to a reader that knows a newer one.
			w.Header().Set("Revision", strconv.FormatInt(latest.revision, 10))
			sleep(r.Context(), delay)
			writeValue(w, latest.data, truncated)
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

// latest returns the latest value that is not hidden; mu is held.
func (p *Platform) latest() (v value) {
	for _, next := range p.values {
		if p.maxRevision > 0 && next.revision > p.maxRevision {
			continue
		}
		v = next
	}
	return v
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(p.instances)
}
