package edge

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// refusing is a site whose targets refuse all requests but the rig's own, and which counts what reaches them.
type refusing struct {
	*rig
	mu sync.Mutex
	// seen holds the IDs of the requests that reached a target, and repeats the times at which one reached a target again.
	seen    map[string]bool
	repeats []time.Time
}

func newRefusing(t *testing.T, entries, targets int, bound site.RetryBound) *refusing {
	t.Helper()
	c := &refusing{seen: map[string]bool{}}
	var handlers []http.HandlerFunc
	for range targets {
		handlers = append(handlers, c.serve)
	}
	c.rig = newEditedSite(t, entries, time.Minute, func(_ int, s *site.Settings) { s.Retries = bound }, handlers...)
	return c
}

func (c *refusing) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/warm/") {
		serveDone(w, r)
		return
	}
	c.mu.Lock()
	id := r.Header.Get("Attempt-Id")
	if c.seen[id] {
		c.repeats = append(c.repeats, time.Now())
	}
	c.seen[id] = true
	c.mu.Unlock()
	refuse(w, r)
}

// most returns the largest number of repeats in a window.
func (c *refusing) most(window time.Duration) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, from := range c.repeats {
		n := 0
		for _, at := range c.repeats[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// restartAll stops all entries at once and starts them again.
func (c *refusing) restartAll() {
	for _, e := range c.entries {
		e.stop()
	}
	for _, e := range c.entries {
		<-e.ended
		c.start(e)
	}
}

// TestRestartedEntriesDoNotRetryAnew counts what reaches refusing targets again while all entries restart.
func TestRestartedEntriesDoNotRetryAnew(t *testing.T) {
	const entries, rate = 20, 80
	bound := site.RetryBound{Ratio: 0.2, Slack: 150, Window: 10 * time.Second}
	tests := []struct {
		name         string
		split, slots bool
	}{
		{"entries that hear each other", false, false},
		{"entries cut off from each other", true, false},
		{"entries whose records slots keep", false, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newRefusing(t, entries, 3, bound)
			if v.slots {
				c.reportTargets()
			}
			time.Sleep(bound.Window)
			c.split.Store(v.split)
			restarted := make(chan struct{})
			go func() {
				defer close(restarted)
				for range 2 {
					time.Sleep(time.Second)
					c.restartAll()
				}
			}()
			callers := &limited{rig: c.rig}
			sent, _ := callers.load("/once/", rate, bound.Window)
			<-restarted
			most, allowed := c.most(bound.Window), bound.Ratio*float64(sent)+bound.Slack
			t.Logf("%d repeats in %s for %d requests, %.0f allowed", most, bound.Window, sent, allowed)
			is.True(float64(most) <= allowed)
			// The bound is used, not only kept.
			is.True(float64(most) >= bound.Slack/2)
		})
	}
}

// TestRestartedEntryGoesOnRetrying restarts an entry just when its targets begin to refuse, with most of its retries unused.
func TestRestartedEntryGoesOnRetrying(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRefusing(t, 1, 3, site.RetryBound{Ratio: 0.2, Slack: 20, Window: 10 * time.Second})
	c.reportTargets()
	callers := &limited{rig: c.rig}
	// The first process must have run for a window.
	time.Sleep(5 * time.Second)
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		callers.load("/warm/", 100, 8*time.Second)
	}()
	time.Sleep(6 * time.Second)
	c.restartAll()
	<-loaded
	sent, _ := callers.load("/safe/", 40, time.Second)
	most := c.most(10 * time.Second)
	t.Logf("%d repeats for %d requests", most, sent)
	is.True(most >= sent/2)
}
