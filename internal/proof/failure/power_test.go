package failure

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// Power of each target in the tests, in watts.
const (
	testShare = 400
	testIdle  = 100
	testDraw  = 100
)

// meter measures the draw of all stand-ins of a site.
type meter struct {
	mu sync.Mutex
	// draw is the present draw in watts, and most the highest since the last reset.
	draw, most int64
	// running counts the running requests, and peak the highest count, by target.
	running, peak map[string]int
}

func newMeter() *meter {
	return &meter{running: map[string]int{}, peak: map[string]int{}}
}

// wrap counts the requests at a stand-in and ends them at their time limit, as an engine does.
func (m *meter) wrap(target string, h http.Handler) http.Handler {
	m.change(target, 0, testIdle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			h.ServeHTTP(w, r)
			return
		}
		limit, err := time.ParseDuration(r.Header.Get("Request-Timeout"))
		if err != nil {
			http.Error(w, "a time limit is missing", http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		m.change(target, 1, testDraw)
		defer m.change(target, -1, -testDraw)
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (m *meter) change(target string, count int, watts int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draw += watts
	m.most = max(m.most, m.draw)
	m.running[target] += count
	m.peak[target] = max(m.peak[target], m.running[target])
}

// reset forgets the highest values.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.most = m.draw
	clear(m.peak)
}

func (m *meter) read() (most int64, peak int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.most, m.peak["desk-c1-0"]
}

// newPowerSite starts one data centre with an engine, two services and a cap that is the sum of their shares.
func newPowerSite(t *testing.T) (s *site, m *meter) {
	t.Helper()
	m = newMeter()
	s = newSite(t, siteOptions{
		centres: 1, entries: 1, engines: 1, services: 2, step: 5 * time.Millisecond, wrap: m.wrap,
		change: func(c *configuration.Configuration) { setShares(c, testShare) },
	})
	return s, m
}

func setShares(c *configuration.Configuration, share int64) {
	c.Centres[0].Watts = int64(len(c.Targets)) * share
	for i := range c.Targets {
		c.Targets[i].Watts, c.Targets[i].Idle, c.Targets[i].Draw = share, testIdle, testDraw
	}
}

// powerStatus is the part of a slot's status that the tests read.
type powerStatus struct {
	Power struct {
		Share    int64 `json:"share"`
		Lent     int64 `json:"lent"`
		Borrowed int64 `json:"borrowed"`
	} `json:"power"`
}

func (p *process) powerStatus() (v powerStatus) {
	p.get("/status", &v)
	return v
}

// flood sends streams to the engine from several callers until the returned function is called.
func flood(s *site, callers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for ctx.Err() == nil {
				a := s.processes["entry-c1-0"].ask(question{path: "/v1/desk", body: `{"prompt":"a","tokens":100}`, timeout: 5 * time.Second})
				if a.status != http.StatusOK {
					wait(ctx, 50*time.Millisecond)
				}
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

// TestPowerCap checks that a loaded engine draws what idle services lend, and never more than the site's cap.
func TestPowerCap(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"no fault", func(*site) {}},
		{"lender frozen", func(s *site) {
			s.processes["hold-c1-0"].freeze()
			time.AfterFunc(2*time.Second, s.processes["hold-c1-0"].wake)
		}},
		{"borrower frozen", func(s *site) {
			s.processes["desk-c1-0"].freeze()
			time.AfterFunc(2*time.Second, s.processes["desk-c1-0"].wake)
		}},
		{"lender restarted", func(s *site) {
			s.processes["hold-c1-0"].kill()
			s.processes["hold-c1-0"].start()
		}},
		{"borrower restarted", func(s *site) {
			s.processes["desk-c1-0"].kill()
			s.processes["desk-c1-0"].start()
		}},
		{"lender stopped and replaced", func(s *site) { s.replace("hold-c1-0") }},
		{"borrower stopped and replaced", func(s *site) { s.replace("desk-c1-0") }},
		{"connections silent", func(s *site) {
			for _, name := range []string{"hold-c1-0", "hold-c1-1", "desk-c1-0"} {
				s.network.silence(s.processes[name].settings.Listen)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, m := newPowerSite(t)
			s.awaitReturned()
			stop := flood(s, 8)
			s.await("the engine borrows", func() bool { return s.processes["desk-c1-0"].powerStatus().Power.Borrowed > 0 })
			s.await("the engine runs more than under its own share", func() bool {
				_, peak := m.read()
				return peak > (testShare-testIdle)/testDraw
			})
			test.fault(s)
			for range 20 {
				hold := s.processes["entry-c1-0"].ask(question{path: "/v1/lookups", body: "b", timeout: time.Second})
				is.True(hold.status != 0)
				wait(t.Context(), 200*time.Millisecond)
			}
			stop()
			most, _ := m.read()
			is.True(most <= 3*testShare)
			s.awaitReturned()
		})
	}
}

// replace stops a process as planned and starts it again.
func (s *site) replace(name string) {
	s.t.Helper()
	p := s.processes[name]
	if code := p.stop(); code != 0 {
		s.t.Errorf("%s exits with %d", name, code)
	}
	p.start()
}

// awaitReturned waits until all power is with its owner again.
func (s *site) awaitReturned() {
	s.t.Helper()
	for name, p := range s.processes {
		if p.role != "slot" {
			continue
		}
		s.await(name+" has its own share and no loan", func() bool {
			v := p.powerStatus().Power
			return v.Share > 0 && v.Lent == 0 && v.Borrowed == 0
		})
	}
}

// TestLoweredCap checks that a lowered cap holds once the reaction time is over.
func TestLoweredCap(t *testing.T) {
	is := is.New(t)
	s, m := newPowerSite(t)
	s.awaitReturned()
	stop := flood(s, 8)
	s.await("the engine borrows", func() bool { return s.processes["desk-c1-0"].powerStatus().Power.Borrowed > 0 })
	s.config.Revision++
	setShares(s.config, testShare-testDraw)
	s.publish()
	for name, p := range s.processes {
		if p.role == "slot" {
			s.await(name+" has the lower share", func() bool { return p.powerStatus().Power.Share == testShare-testDraw })
		}
	}
	s.await("the draw is under the lower cap", func() bool {
		m.reset()
		wait(t.Context(), 100*time.Millisecond)
		most, _ := m.read()
		return most <= 3*(testShare-testDraw)
	})
	m.reset()
	wait(t.Context(), 2*time.Second)
	most, _ := m.read()
	is.True(most <= 3*(testShare-testDraw))
	stop()
	s.awaitReturned()
}
