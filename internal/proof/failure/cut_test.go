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

// partitionDuration is several times every heartbeat and connection timeout of the tests.
const partitionDuration = 6 * time.Second

// holdOutcomes counts the outcomes of non-idempotent calls during a network partition.
type holdOutcomes struct {
	mu sync.Mutex
	// done, refused and unknown count the outcomes.
	done, refused, unknown int
	// reported holds the outcome that the caller got for each key.
	reported map[string]string
}

// placeHold requests one hold and retries with the same key through another entry when the outcome is unknown.
func (h *holdOutcomes) placeHold(first, second *process, body string) {
	a, key := first.sendWithKey(request{path: "/v1/holds", body: body, timeout: 2 * time.Second})
	if key != "" && !a.complete && a.problem.Outcome != "not-run" {
		a = second.send(request{path: "/v1/holds", body: body, key: key, timeout: 2 * time.Second})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case a.complete && a.status == http.StatusOK:
		h.done++
		h.reported[key] = "done"
	case a.problem.Outcome == "not-run":
		h.refused++
		h.reported[key] = "not-run"
	default:
		h.unknown++
	}
}

// TestDataCentrePartition partitions data centres under load. Each must serve with its own targets, and outcomes
// reported to callers must match what the services ran.
func TestDataCentrePartition(t *testing.T) {
	tests := []struct {
		name       string
		partitions [][2]byte
		// fault causes a second fault at the same time, or is nil.
		fault func(s *site)
	}{
		{name: "first from the others", partitions: [][2]byte{{1, 2}, {1, 3}}},
		{name: "second from the others", partitions: [][2]byte{{2, 1}, {2, 3}}},
		{name: "third from the others", partitions: [][2]byte{{3, 1}, {3, 2}}},
		{name: "all three apart", partitions: [][2]byte{{1, 2}, {1, 3}, {2, 3}}},
		{name: "all from the platform", partitions: [][2]byte{{0, 1}, {0, 2}, {0, 3}}},
		{name: "all apart and from the platform", partitions: [][2]byte{{1, 2}, {1, 3}, {2, 3}, {0, 1}, {0, 2}, {0, 3}}},
		{name: "one apart and a target killed", partitions: [][2]byte{{1, 2}, {1, 3}}, fault: func(s *site) { s.processes["desk-c2-0"].kill() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 3, entries: 1, engines: 2, services: 1})
			h := &holdOutcomes{reported: map[string]string{}}
			end := s.placeHolds(h)
			time.Sleep(500 * time.Millisecond)
			for _, c := range test.partitions {
				s.network.partition(c[0], c[1])
			}
			if test.fault != nil {
				test.fault(s)
			}
			time.Sleep(time.Second)
			s.checkServing(partitionDuration - time.Second)
			s.network.heal()
			time.Sleep(time.Second)
			end()
			t.Logf("holds done %d, not run %d, unknown %d", h.done, h.refused, h.unknown)
			is.True(h.done > 0)
			s.checkHolds(h)
			for centre := 1; centre <= 3; centre++ {
				is.True(s.processes[fmt.Sprintf("entry-c%d-0", centre)].send(shortRequest).complete)
			}
		})
	}
}

// placeHolds requests holds through each entry until the returned function is called.
func (s *site) placeHolds(h *holdOutcomes) (end func()) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for centre := 1; centre <= 3; centre++ {
		first := s.processes[fmt.Sprintf("entry-c%d-0", centre)]
		second := s.processes[fmt.Sprintf("entry-c%d-0", centre%3+1)]
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				h.placeHold(first, second, fmt.Sprintf("room %d of %d", i, centre))
			}
		})
	}
	return func() { close(stop); wg.Wait() }
}

// checkServing sends requests to each data centre's entry in a loop and requires complete answers.
func (s *site) checkServing(duration time.Duration) {
	s.t.Helper()
	until := time.Now().Add(duration)
	var wg sync.WaitGroup
	for centre := 1; centre <= 3; centre++ {
		entry := s.processes[fmt.Sprintf("entry-c%d-0", centre)]
		wg.Go(func() {
			for time.Now().Before(until) {
				a := entry.send(shortRequest)
				if !a.complete || a.text != engine.Expected("short", 5) {
					s.t.Errorf("%s during the partition: status %d, %+v", entry.settings.Name, a.status, a.problem)
					return
				}
			}
		})
	}
	wg.Wait()
}

// checkHolds compares the outcomes reported to callers with what the services ran.
func (s *site) checkHolds(h *holdOutcomes) {
	s.t.Helper()
	for key, outcome := range h.reported {
		runs := 0
		for _, v := range s.services {
			runs += v.Runs(key)
		}
		if outcome == "done" && runs != 1 || outcome == "not-run" && runs != 0 {
			s.t.Errorf("key %s was reported as %s and ran %d times", key, outcome, runs)
		}
	}
	for name, v := range s.services {
		if most, _ := v.MaxRuns(); most > 1 {
			s.t.Errorf("%s ran a key %d times", name, most)
		}
	}
}
