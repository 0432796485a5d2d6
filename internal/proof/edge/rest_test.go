package edge

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// restTime is the rest that a target asks for. At most maxInRest requests may reach it from restMargin after its answer until the
	// end of that time.
	restTime, restMargin = 3 * time.Second, 500 * time.Millisecond
	maxInRest            = 2
	// drainTime is the time from an answer of a leaving target from which no request may reach it.
	drainTime = 2 * time.Second
)

// resting is a site whose first target, the nearest one, turns requests away while it wants rest, or says that it is leaving.
type resting struct {
	*rig
	mu sync.Mutex
	// arrivals are the times of the requests that reached the first target, and asked those at which it asked for rest.
	arrivals, asked []time.Time
	// tired makes the first target turn requests away, leaving makes it say so in its answers.
	tired, leaving atomic.Bool
}

func newResting(t *testing.T, others int) *resting {
	t.Helper()
	c := &resting{}
	handlers := []http.HandlerFunc{withWarmRoute(c.serve)}
	for range others {
		handlers = append(handlers, withWarmRoute(serveBusy))
	}
	c.rig = newRig(t, time.Minute, handlers...)
	return c
}

// busyTime is how long the other targets take for a request.
const busyTime = 400 * time.Millisecond

func serveBusy(w http.ResponseWriter, r *http.Request) {
	time.Sleep(busyTime)
	serveAny(w, r)
}

// serveAny answers with events on routes with streams, and with a plain answer on others.
func serveAny(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stream/" {
		writeEvents(w, r, 1, 3, false)
		return
	}
	serveDone(w, r)
}

func (c *resting) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, now)
	if c.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	if c.tired.Load() {
		c.asked = append(c.asked, now)
		w.Header().Set("Retry-After", strconv.Itoa(int(restTime.Seconds())))
		refuse(w, r)
		return
	}
	serveAny(w, r)
}

// mostInRest returns the largest number of requests that reached the first target in a rest that it had asked for.
func (c *resting) mostInRest() (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, asked := range c.asked {
		n := 0
		for _, at := range c.arrivals {
			if at.Sub(asked) > restMargin && at.Sub(asked) < restTime {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// arrivedSince returns the number of requests that reached the first target after a time.
func (c *resting) arrivedSince(after time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// loadAll lets callers send requests beside each other for a time, and returns how many were sent and served.
func (c *resting) loadAll(callers int, path string, playTime time.Duration) (sent, served int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range callers {
		wg.Go(func() {
			n, m, _ := c.load(path, playTime)
			mu.Lock()
			defer mu.Unlock()
			sent, served = sent+n, served+m
		})
	}
	wg.Wait()
	return sent, served
}

// load sends requests for a time and returns how many were sent and served, and the longest Retry-After of the others.
func (c *resting) load(path string, playTime time.Duration) (sent, served int, longest time.Duration) {
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		sent++
		a := c.call("POST", path, nil)
		if a.status == http.StatusOK && a.err == nil {
			served++
			continue
		}
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil {
			c.t.Errorf("status %d without a Retry-After", a.status)
		}
		longest = max(longest, time.Duration(seconds*float64(time.Second)))
	}
	return sent, served, longest
}

// TestRestingTargetGetsNoRequests lets the nearest target ask for rest again and again.
func TestRestingTargetGetsNoRequests(t *testing.T) {
	// With as many callers the other targets are busy, and the one that turns requests away is not.
	const callers = 16
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newResting(t, 2)
			c.tired.Store(true)
			sent, served := c.loadAll(callers, path, 3*restTime)
			is.Equal(served, sent)
			is.True(c.mostInRest() <= maxInRest)
			c.tired.Store(false)
			rested := time.Now()
			c.load(path, restTime+time.Second)
			is.True(c.arrivedSince(rested) > 0) // it is used again
		})
	}
}

// TestAllTargetsRest checks that callers are refused at once until the only target takes requests again.
func TestAllTargetsRest(t *testing.T) {
	is := is.New(t)
	c := newResting(t, 0)
	c.tired.Store(true)
	c.load("/safe/", 500*time.Millisecond)
	c.tired.Store(false)
	began := time.Now()
	_, _, longest := c.load("/safe/", 2*time.Second)
	is.True(c.mostInRest() <= maxInRest)
	is.True(longest <= restTime)
	is.True(longest >= restTime/2) // callers do not come back before it takes requests
	c.await(func() bool { return c.call("POST", "/safe/", nil).status == http.StatusOK })
	is.True(time.Since(began) < restTime+time.Second)
}

// TestTargetThatSaysItLeavesGetsNoRequests checks the time from the first answer of a leaving target that the store lists as ready.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *resting)
	}{
		{"in touch", func(*resting) {}},
		{"cut off from the store", func(c *resting) { c.storeCut.Store(true) }},
		{"its record is written again", func(c *resting) { c.registerTarget(c.targets[0], 0, "ready") }},
		{"it turns requests away", func(c *resting) { c.tired.Store(true) }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newResting(t, 1)
			c.leaving.Store(true)
			v.fault(c)
			is.Equal(c.call("POST", "/once/", nil).status, http.StatusOK)
			passed := time.Now()
			sent, served, _ := c.load("/once/", 2*drainTime)
			is.Equal(served, sent)
			is.Equal(c.arrivedSince(passed.Add(drainTime)), 0)
			// A new incarnation is another target.
			c.leaving.Store(false)
			c.tired.Store(false)
			c.storeCut.Store(false)
			c.targets[0].id, c.targets[0].born = "i-new", 2
			c.registerTarget(c.targets[0], 0, "ready")
			c.await(func() bool { c.call("POST", "/once/", nil); return c.arrivedSince(passed.Add(2*drainTime)) > 0 })
		})
	}
}

// TestRankThatRefusesAloneLeavesTheGroup checks that a request that one rank turns away for itself goes to another rank, and that one
// that it turns away for the group does not.
func TestRankThatRefusesAloneLeavesTheGroup(t *testing.T) {
	// firstTry is the time limit of the route, so that the caller does not count as one that has returned and waits.
	const firstTry = 2 * time.Second
	tests := []struct {
		name, fault string
		status      int
		// sends are the requests that reach the second rank.
		sends int
	}{
		{"for itself", "", http.StatusOK, 1},
		{"for the group", "10.0.0.9:80", http.StatusServiceUnavailable, 0},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
				if v.fault != "" {
					w.Header().Set("At-Server", v.fault)
				}
				refuse(w, q)
			}), withWarmRoute(serveAny))
			r.engine = map[string]any{"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}
			r.configure(2, testKey)
			time.Sleep(time.Second)
			before := r.targets[1].count()
			is.Equal(r.call("POST", "/once/", withTime(firstTry)).status, v.status)
			is.Equal(r.targets[1].count()-before, v.sends)
		})
	}
}

// TestUnreachableRankIsNoRefusalOfItsGroup ends one of two targets of a service with groups without a change of its record: requests
// that chose it must be served by the other one, also without any retry left in the budget.
func TestUnreachableRankIsNoRefusalOfItsGroup(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, withWarmRoute(serveAny), withWarmRoute(serveAny))
	r.engine = map[string]any{"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}
	r.configure(2, testKey)
	time.Sleep(time.Second)
	r.targets[0].Close()
	for range 40 {
		is.Equal(r.call("POST", "/once/", nil).status, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
}
