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

// meter measures the power draw of all fake targets of a site.
type meter struct {
	mu sync.Mutex
	// draw is the current draw in watts, and peakDraw the highest since the last reset.
	draw, peakDraw int64
	// running counts the running requests by target, and peakRunning is the highest count since the last reset.
	running, peakRunning map[string]int
}

func newMeter() *meter {
	return &meter{running: map[string]int{}, peakRunning: map[string]int{}}
}

// wrap counts the requests at a fake target and ends them at their time limit, as an engine does.
func (m *meter) wrap(target string, h http.Handler) http.Handler {
	m.add(target, 0, testIdle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			h.ServeHTTP(w, r)
			return
		}
		limit, err := time.ParseDuration(r.Header.Get("Request-Timeout"))
		if err != nil {
			http.Error(w, "the header Request-Timeout is missing or invalid", http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), limit)
		defer cancel()
		m.add(target, 1, testDraw)
		defer m.add(target, -1, -testDraw)
		h.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (m *meter) add(target string, requests int, watts int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draw += watts
	m.peakDraw = max(m.peakDraw, m.draw)
	m.running[target] += requests
	m.peakRunning[target] = max(m.peakRunning[target], m.running[target])
}

// reset sets the peak draw to the current draw and clears the peak request counts.
func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peakDraw = m.draw
	clear(m.peakRunning)
}

// peaks returns the peak draw of the site and the peak number of running requests at its engine.
func (m *meter) peaks() (peakDraw int64, peakRunning int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peakDraw, m.peakRunning["desk-c1-0"]
}

// newPowerSite starts one data centre with an engine, two services and a power cap that is the sum of their shares.
func newPowerSite(t *testing.T) (s *site, m *meter) {
	t.Helper()
	m = newMeter()
	s = newSite(t, siteOptions{
		centres: 1, entries: 1, engines: 1, services: 2, step: 5 * time.Millisecond, wrap: m.wrap,
		editConfig: func(c *configuration.Configuration) { setShares(c, testShare) },
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

// flood requests streams from the engine by several callers until the returned function is called.
func flood(s *site, callers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				a := s.processes["entry-c1-0"].send(request{path: "/v1/desk", body: `{"prompt":"a","tokens":100}`, timeout: 5 * time.Second})
				if a.status != http.StatusOK {
					sleep(ctx, 50*time.Millisecond)
				}
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// TestPowerCap checks that a loaded engine uses the power that idle services lend, and that the site never draws more
// than its cap.
func TestPowerCap(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *site)
	}{
		{"no fault", func(*site) {}},
		{"lender frozen", func(s *site) {
			s.processes["hold-c1-0"].freeze()
			time.AfterFunc(2*time.Second, s.processes["hold-c1-0"].unfreeze)
		}},
		{"borrower frozen", func(s *site) {
			s.processes["desk-c1-0"].freeze()
			time.AfterFunc(2*time.Second, s.processes["desk-c1-0"].unfreeze)
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
				s.network.blackhole(s.processes[name].settings.Listen)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, m := newPowerSite(t)
			s.awaitLoansReturned()
			stop := flood(s, 8)
			s.await("the engine borrows", func() bool { return s.processes["desk-c1-0"].powerStatus().Power.Borrowed > 0 })
			s.await("the engine runs more requests than its own share allows", func() bool {
				_, peakRunning := m.peaks()
				return peakRunning > (testShare-testIdle)/testDraw
			})
			test.fault(s)
			for range 20 {
				hold := s.processes["entry-c1-0"].send(request{path: "/v1/lookups", body: "b", timeout: time.Second})
				is.True(hold.status != 0)
				sleep(t.Context(), 200*time.Millisecond)
			}
			stop()
			peakDraw, _ := m.peaks()
			is.True(peakDraw <= 3*testShare)
			s.awaitLoansReturned()
		})
	}
}

// replace shuts a process down gracefully and starts it again.
func (s *site) replace(name string) {
	s.t.Helper()
	p := s.processes[name]
	if code := p.stop(); code != 0 {
		s.t.Errorf("%s exited with code %d, want 0", name, code)
	}
	p.start()
}

// awaitLoansReturned waits until every slot has its share and no loan is outstanding.
func (s *site) awaitLoansReturned() {
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

// TestLoweredCap lowers the cap while the engine borrows, and checks that the draw falls below it and stays there.
func TestLoweredCap(t *testing.T) {
	is := is.New(t)
	s, m := newPowerSite(t)
	s.awaitLoansReturned()
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
		sleep(t.Context(), 100*time.Millisecond)
		peakDraw, _ := m.peaks()
		return peakDraw <= 3*(testShare-testDraw)
	})
	m.reset()
	sleep(t.Context(), 2*time.Second)
	peakDraw, _ := m.peaks()
	is.True(peakDraw <= 3*(testShare-testDraw))
	stop()
	s.awaitLoansReturned()
}
