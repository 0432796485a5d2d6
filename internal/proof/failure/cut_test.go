package failure

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// cutSpan is the length of a cut; several times every silence limit of the tests.
const cutSpan = 6 * time.Second

// holds counts what became of non-idempotent calls under a cut.
type holds struct {
	mu sync.Mutex
	// done, refused and unknown count the outcomes.
	done, refused, unknown int
	// told holds what was said of each key.
	told map[string]string
}

// book asks for one hold, resending with the same key through another entry when the outcome is unknown.
func (h *holds) book(first, second *process, body string) {
	a, key := first.askOnce(question{path: "/v1/holds", body: body, timeout: 2 * time.Second})
	if key != "" && !a.whole && a.problem.Outcome != "not-run" {
		a = second.ask(question{path: "/v1/holds", body: body, key: key, timeout: 2 * time.Second})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.whole && a.status == http.StatusOK:
		h.done++
		h.told[key] = "done"
	case a.problem.Outcome == "not-run":
		h.refused++
		h.told[key] = "not-run"
	default:
		h.unknown++
	}
}

// TestCutDataCentre cuts data centres apart under load; each serves what its own targets can, and what was told stays true.
func TestCutDataCentre(t *testing.T) {
	tests := []struct {
		name string
		cuts [][2]byte
		// fault is a second fault at the same time, or nil.
		fault func(s *site)
	}{
		{name: "first from the others", cuts: [][2]byte{{1, 2}, {1, 3}}},
		{name: "second from the others", cuts: [][2]byte{{2, 1}, {2, 3}}},
		{name: "third from the others", cuts: [][2]byte{{3, 1}, {3, 2}}},
		{name: "all three apart", cuts: [][2]byte{{1, 2}, {1, 3}, {2, 3}}},
		{name: "all from the platform", cuts: [][2]byte{{0, 1}, {0, 2}, {0, 3}}},
		{name: "all apart and from the platform", cuts: [][2]byte{{1, 2}, {1, 3}, {2, 3}, {0, 1}, {0, 2}, {0, 3}}},
		{name: "one apart and a target killed", cuts: [][2]byte{{1, 2}, {1, 3}}, fault: func(s *site) { s.processes["desk-c2-0"].kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 3, entries: 1, engines: 2, services: 1})
			h := &holds{told: map[string]string{}}
			end := s.bookAll(h)
			time.Sleep(500 * time.Millisecond)
			for _, c := range test.cuts {
				s.network.cut(c[0], c[1])
			}
			if test.fault != nil {
				test.fault(s)
			}
			time.Sleep(time.Second)
			s.serveEach(cutSpan - time.Second)
			s.network.heal()
			time.Sleep(time.Second)
			end()
			t.Logf("holds done %d, not run %d, unknown %d", h.done, h.refused, h.unknown)
			is.True(h.done > 0)
			s.checkHolds(h)
			for centre := 1; centre <= 3; centre++ {
				is.True(s.processes[fmt.Sprintf("entry-c%d-0", centre)].ask(shortQuestion).whole)
			}
		})
	}
}

// bookAll asks each entry for holds until the returned function is called.
func (s *site) bookAll(h *holds) (end func()) {
	stop := make(chan struct{})
	var group sync.WaitGroup
	for centre := 1; centre <= 3; centre++ {
		first := s.processes[fmt.Sprintf("entry-c%d-0", centre)]
		second := s.processes[fmt.Sprintf("entry-c%d-0", centre%3+1)]
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				h.book(first, second, fmt.Sprintf("room %d of %d", i, centre))
			}
		})
	}
	return func() { close(stop); group.Wait() }
}

// serveEach asks each data centre's entry again and again; every answer must be whole.
func (s *site) serveEach(span time.Duration) {
	s.t.Helper()
	until := time.Now().Add(span)
	var group sync.WaitGroup
	for centre := 1; centre <= 3; centre++ {
		entry := s.processes[fmt.Sprintf("entry-c%d-0", centre)]
		group.Go(func() {
			for time.Now().Before(until) {
				a := entry.ask(shortQuestion)
				if !a.whole || a.text != engine.Expected("short", 5) {
					s.t.Errorf("%s during the cut: status %d, %+v", entry.settings.Name, a.status, a.problem)
					return
				}
			}
		})
	}
	group.Wait()
}

// checkHolds compares what callers were told with what the services ran.
func (s *site) checkHolds(h *holds) {
	s.t.Helper()
	for key, told := range h.told {
		runs := 0
		for _, v := range s.services {
			runs += v.Runs(key)
		}
		if told == "done" && runs != 1 || told == "not-run" && runs != 0 {
			s.t.Errorf("key %s was told %s and ran %d times", key, told, runs)
		}
	}
	for name, v := range s.services {
		if most, _ := v.MaxRuns(); most > 1 {
			s.t.Errorf("%s ran a key %d times", name, most)
		}
	}
}
