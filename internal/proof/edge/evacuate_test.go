package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// evacuationTime is the users' rule: from then on after the evacuation of a data centre nothing reaches its targets. Where nothing
	// else runs beside the test and the watch is at work, it takes no longer than promptEvacuation.
	evacuationTime, promptEvacuation = 5 * time.Second, time.Second
	// evacuationEntries are in three data centres, evacuationRate is in requests a second.
	evacuationEntries, evacuationRate = 9, 60
)

// evacuating is a site of three data centres with one target each, c0 to c2, of which c0 is evacuated under load.
type evacuating struct {
	*rig
	mu sync.Mutex
	// arrivals are the times of the requests that reached each target, by its number.
	arrivals map[int][]time.Time
	// behave serves the requests of a target after they were counted, if it is set.
	behave func(number int, w http.ResponseWriter, r *http.Request) (served bool)
	// ended counts answers by status; 0 is for broken ones.
	ended map[int]int
}

func newEvacuating(t *testing.T, entries int, behave func(number int, w http.ResponseWriter, r *http.Request) bool) *evacuating {
	t.Helper()
	c := &evacuating{arrivals: map[int][]time.Time{}, behave: behave, ended: map[int]int{}}
	var handlers []http.HandlerFunc
	for number := range 3 {
		handlers = append(handlers, withWarmRoute(func(w http.ResponseWriter, r *http.Request) { c.serve(number, w, r) }))
	}
	c.rig = newEditedSite(t, entries, time.Minute, func(number int, s *site.Settings) {
		s.Evacuation = evacuationTime
		s.Centre = fmt.Sprintf("c%d", number%3)
		// Full reads that a quarter of the history asks for would come after the end of the tests.
		s.History = 2 * time.Minute
	}, handlers...)
	return c
}

func (c *evacuating) serve(number int, w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.arrivals[number] = append(c.arrivals[number], time.Now())
	c.mu.Unlock()
	if c.behave != nil && c.behave(number, w, r) {
		return
	}
	if r.URL.Path != "/stream/" {
		time.Sleep(10 * time.Millisecond)
		serveDone(w, r)
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= streamEvents; i++ {
		time.Sleep(20 * time.Millisecond)
		writeEvents(w, r, i, i, false)
	}
}

// streamEvents is the number of events of a complete stream.
const streamEvents = 5

// latest returns the time from a moment to the last request that reached a target after it, zero if there was none, and the number of
// requests since.
func (c *evacuating) latest(number int, since time.Time) (latest time.Duration, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.arrivals[number] {
		if at.After(since) {
			latest, count = max(latest, at.Sub(since)), count+1
		}
	}
	return latest, count
}

// load sends requests to random entries until stop is called, which waits for their ends.
func (c *evacuating) load(entries []*entry, paths ...string) (stop func()) {
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		ticker := time.NewTicker(time.Second / evacuationRate)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			e, path := entries[rand.IntN(len(entries))], paths[rand.IntN(len(paths))]
			wg.Go(func() { c.record(path, c.callAt(e, "POST", path, nil)) })
		}
	})
	return sync.OnceFunc(func() { close(done); wg.Wait() })
}

// record counts an answer.
func (c *evacuating) record(path string, a answer) {
	if a.err != nil || path == "/stream/" && a.status == http.StatusOK && !strings.Contains(a.body, fmt.Sprintf("id: %d\n", streamEvents)) {
		a.status = 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[a.status]++
}

// answers returns the numbers of all answers and of those with a status.
func (c *evacuating) answers(status int) (all, with int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.ended {
		all += n
	}
	return all, c.ended[status]
}

func (c *evacuating) evacuate(centre string) time.Time {
	at := time.Now()
	c.store.put(evacuationPrefix+centre, map[string]any{"by": "an operator"})
	return at
}

// used reports whether a target gets requests within a time.
func (c *evacuating) used(number int, within time.Duration) bool {
	since := time.Now()
	for time.Since(since) < within {
		if _, count := c.latest(number, since); count > 0 {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestEvacuatedCentreGetsNothing evacuates a data centre under load of each kind, and lets it return. The others serve all requests.
func TestEvacuatedCentreGetsNothing(t *testing.T) {
	var turn atomic.Int64
	group := map[string]any{"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}
	tests := []struct {
		name   string
		paths  []string
		engine map[string]any
		behave func(number int, w http.ResponseWriter, r *http.Request) bool
		// served is the least part of the requests that are served; those that no target takes because of limits or seats are refused.
		served float64
		// alone is set if the test runs beside no other.
		alone bool
	}{
		{"plain", []string{"/once/", "/safe/"}, nil, nil, 0.98, true},
		{"retried", []string{"/once/", "/safe/"}, nil, func(number int, w http.ResponseWriter, r *http.Request) bool {
			if number != 2 || turn.Add(1)%4 != 0 {
				return false
			}
			refuse(w, r)
			return true
		}, 0.95, false},
		{"resumed", []string{"/stream/"}, nil, func(number int, w http.ResponseWriter, r *http.Request) bool {
			if number != 2 || r.Header.Get("Last-Event-Id") != "" || turn.Add(1)%4 != 0 {
				return false
			}
			writeEvents(w, r, 1, 2, true)
			return true
		}, 0.9, false},
		{"waiting for permits", []string{"/once/", "/safe/"}, nil, func(_ int, w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Limit", "20")
			return false
		}, 0.1, false},
		{"waiting for seats", []string{"/stream/"}, group, nil, 0.1, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			bound := promptEvacuation
			if !v.alone {
				t.Parallel()
				bound = evacuationTime
			}
			is := is.New(t)
			c := newEvacuating(t, evacuationEntries, v.behave)
			if v.engine != nil {
				c.engine = v.engine
				c.configure(2, testKey)
			}
			time.Sleep(time.Second)
			stop := c.load(c.entries, v.paths...)
			defer stop()
			is.True(c.used(0, 2*time.Second))
			time.Sleep(time.Second)
			at := c.evacuate("c0")
			time.Sleep(evacuationTime + time.Second)
			late, n := c.latest(0, at)
			stop()
			all, served := c.answers(http.StatusOK)
			t.Logf("last request %s after the evacuation, %d since; %d of %d served", late, n, served, all)
			is.True(late <= bound)
			is.True(float64(served) >= v.served*float64(all))
			c.store.remove(evacuationPrefix + "c0")
			stop = c.load(c.entries, v.paths...)
			is.True(c.used(0, 2*time.Second)) // it has returned
			stop()
		})
	}
}

// TestRunningRequestsEndNormally evacuates the data centre of a target in the middle of a stream and of a plain request. Both end at
// that target.
func TestRunningRequestsEndNormally(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sent [3]atomic.Int64
	c := newEvacuating(t, 3, func(number int, w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/once/" {
			time.Sleep(1200 * time.Millisecond)
			return false
		}
		for i := 1; i <= streamEvents; i++ {
			time.Sleep(250 * time.Millisecond)
			writeEvents(w, r, i, i, false)
			sent[number].Add(1)
		}
		return true
	})
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for _, path := range []string{"/stream/", "/once/"} {
		wg.Go(func() {
			a := c.callAt(c.entries[0], "POST", path, nil)
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
			is.True(path == "/once/" || strings.Contains(a.body, fmt.Sprintf("id: %d\n", streamEvents)))
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.evacuate("c0")
	wg.Wait()
	is.Equal(sent[0].Load()+sent[1].Load()+sent[2].Load(), int64(streamEvents)) // no part was sent twice
}
