package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// withWarmRoute wraps a handler such that requests of the rig's own route /warm/ always succeed.
func withWarmRoute(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/warm/") {
			serveDone(w, r)
			return
		}
		handle(w, r)
	}
}

// TestAnswersOnTargetFailures checks, for each way in which a target fails, what the caller gets and how many targets
// may have run the request.
func TestAnswersOnTargetFailures(t *testing.T) {
	wrongID := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Attempt-Id", "another")
		serveDone(w, r)
	}
	unsealed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		fmt.Fprint(w, "no seal")
	}
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		respond(w, r, http.StatusOK, "half")
	}
	garbage := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			fmt.Fprint(conn, "no answer at all\r\n\r\n")
			conn.Close()
		}
	}
	misdirected := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	failing := func(w http.ResponseWriter, r *http.Request) { respond(w, r, http.StatusInternalServerError, "failed") }
	sealed503 := func(w http.ResponseWriter, r *http.Request) {
		respond(w, r, http.StatusServiceUnavailable, "ran and failed")
	}
	noResponse := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name          string
		path          string
		first, second http.HandlerFunc
		status        int
		// arrivals are the requests that reach the first and the second target.
		arrivals [2]int
	}{
		{"once: served", "/once/", serveDone, serveDone, 200, [2]int{1, 0}},
		{"once: connection lost after the request", "/once/", resetConnection, serveDone, 502, [2]int{1, 0}},
		{"once: refused, served by another", "/once/", refuse, serveDone, 200, [2]int{1, 1}},
		{"once: another incarnation at the address", "/once/", misdirected, serveDone, 200, [2]int{1, 1}},
		{"once: all refuse", "/once/", refuse, refuse, 503, [2]int{1, 1}},
		{"once: answer of another request", "/once/", wrongID, serveDone, 502, [2]int{1, 0}},
		{"once: answer without a seal", "/once/", unsealed, serveDone, 502, [2]int{1, 0}},
		{"once: truncated answer", "/once/", truncated, serveDone, 502, [2]int{1, 0}},
		{"once: not an HTTP response", "/once/", garbage, serveDone, 502, [2]int{1, 0}},
		{"once: the target's own failure", "/once/", failing, serveDone, 500, [2]int{1, 0}},
		{"once: a failure that the caller would take for not run", "/once/", sealed503, serveDone, 502, [2]int{1, 0}},
		{"once: no response within the timeout", "/once/", noResponse, serveDone, 504, [2]int{1, 0}},
		{"safe: connection lost", "/safe/", resetConnection, serveDone, 200, [2]int{1, 1}},
		{"safe: failure", "/safe/", failing, serveDone, 200, [2]int{1, 1}},
		{"safe: both fail", "/safe/", failing, failing, 500, [2]int{1, 1}},
		{"safe: truncated answer", "/safe/", truncated, serveDone, 200, [2]int{1, 1}},
		{"safe: no response within the timeout", "/safe/", noResponse, serveDone, 200, [2]int{1, 1}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, time.Minute, withWarmRoute(v.first), withWarmRoute(v.second))
			before := [2]int{r.targets[0].count(), r.targets[1].count()}
			a := r.call("POST", v.path, nil)
			is.NoErr(a.err)
			is.Equal(a.status, v.status)
			is.Equal(r.targets[0].count()-before[0], v.arrivals[0])
			is.Equal(r.targets[1].count()-before[1], v.arrivals[1])
			if v.status == http.StatusServiceUnavailable {
				is.True(a.header.Get("Retry-After") != "")
			}
		})
	}
}

// TestConnectionRefused checks that a request goes to another target if the first one refuses the connection.
func TestConnectionRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveDone, serveDone)
	r.targets[0].Close()
	a := r.call("POST", "/once/", nil)
	is.Equal(a.status, 200)
	is.Equal(a.body, "done")
}

// TestHeaders checks which headers of a caller's request reach a target.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveDone)
	a := r.call("POST", "/once/a%2Fb?x=1", func(q *http.Request) {
		q.Header.Set("Tenant", "forged")
		q.Header.Set("Expect-Instance", "forged")
		q.Header.Set("Connection", "X-Hop")
		q.Header.Set("X-Hop", "1")
		q.Header.Set("X-Kept", "1")
	})
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("Engine-Seal"), "seal")
	h := r.targets[0].arrivals[r.targets[0].count()-1]
	is.Equal(h.Get("Tenant"), testWorkspace)
	is.Equal(h.Get("Expect-Instance"), "i-0")
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Get("X-Hop"), "")
	is.Equal(h.Get("X-Kept"), "1")
	left, err := strconv.Atoi(h.Get("Timeout-Ms"))
	is.NoErr(err)
	is.True(left > 1000 && left <= 1500)
}

// writeEvents writes the events of a range of numbers; with truncate it aborts in the middle of the next event.
func writeEvents(w http.ResponseWriter, r *http.Request, from, to int, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Engine-Seal", "seal")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	if truncate {
		fmt.Fprintf(w, "id: %d\ndata: pie", to+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestStreams checks streams whose target aborts them in the middle of an event.
func TestStreams(t *testing.T) {
	complete := ""
	for i := 1; i <= 6; i++ {
		complete += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	half := complete[:strings.Index(complete, "id: 4")]
	resume := func(w http.ResponseWriter, r *http.Request) {
		// Without the header from is 0 and the stream begins with its first event.
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		writeEvents(w, r, from+1, 6, false)
	}
	truncated := func(w http.ResponseWriter, r *http.Request) { writeEvents(w, r, 1, 3, true) }
	tests := []struct {
		name, path    string
		first, second http.HandlerFunc
		body          string
		truncated     bool
	}{
		{"complete", "/stream/", resume, resume, complete, false},
		{"resumes at another target", "/stream/", truncated, resume, complete, false},
		{"not resumable", "/fixed/", truncated, resume, half, true},
		{"other target refuses", "/stream/", truncated, refuse, half, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, time.Minute, withWarmRoute(v.first), withWarmRoute(v.second))
			a := r.call("POST", v.path, nil)
			is.Equal(a.status, 200)
			is.Equal(a.body, v.body)
			is.Equal(a.err != nil, v.truncated)
		})
	}
}

// TestKeys checks API keys against changing configurations, with and without the store.
func TestKeys(t *testing.T) {
	is := is.New(t)
	const revoke = 3 * time.Second
	r := newRig(t, revoke, serveDone)
	is.Equal(r.call("POST", "/once/", nil).status, 200)
	is.Equal(r.call("POST", "/once/", func(q *http.Request) { q.Header.Set("Authorization", "Bearer other") }).status, 401)
	is.Equal(r.call("POST", "/unknown/", nil).status, 404)
	r.configure(2, "k-2")
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 401 })
	r.configure(3, testKey)
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 200 })

	r.store.unavailable.Store(true)
	lost := time.Now()
	lastServed := lost
	for time.Since(lost) < revoke+time.Second {
		if r.call("POST", "/once/", nil).status == 200 {
			lastServed = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(lastServed.Sub(lost) < revoke)                 // a key that may have been removed stops working
	is.Equal(r.call("POST", "/once/", nil).status, 503)    // but is not reported as unknown
	is.Equal(r.call("POST", "/unknown/", nil).status, 503) // and neither is a route
	is.Equal(r.call("GET", "/warm/", nil).status, 200)     // routes without a key still work
	r.store.unavailable.Store(false)
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 200 })
}

// TestKeysOutliveTheStore checks that keys work for at least three fifths of the revocation time after the store is
// lost, at any moment of a watch (RULES: from then on such requests are not owed).
func TestKeysOutliveTheStore(t *testing.T) {
	const revoke = 5 * time.Second
	for i := range 4 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, revoke, serveDone)
			time.Sleep(time.Duration(i+1) * 970 * time.Millisecond)
			r.store.unavailable.Store(true)
			lost := time.Now()
			for time.Since(lost) < revoke*3/5 {
				is.Equal(r.call("POST", "/once/", nil).status, 200)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestLeavingTargetGetsNoWork checks that a target gets no request from two seconds after the store lists it as draining.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveDone, serveDone)
	r.registerTarget(r.targets[0], 0, "draining")
	drainStart := time.Now()
	before := r.targets[0].count()
	lastArrival := drainStart
	for time.Since(drainStart) < 3*time.Second {
		is.Equal(r.call("POST", "/once/", nil).status, 200)
		if n := r.targets[0].count(); n != before {
			before, lastArrival = n, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(lastArrival.Sub(drainStart) < 2*time.Second)
}

// TestMissedWatchEventsAreFound drops all events of the store's watches: a removed key must stop working within the
// revocation time. One of the targets is set to draining too; which target serves a request is not checked.
func TestMissedWatchEventsAreFound(t *testing.T) {
	is := is.New(t)
	const revoke = 6 * time.Second
	r := newRig(t, revoke, serveDone, serveDone)
	r.store.dropEvents.Store(true)
	r.configure(50, "another")
	r.registerTarget(r.targets[0], 0, "draining")
	changed := time.Now()
	is.Equal(r.call("POST", "/once/", nil).status, 200) // the entry does not know of the change yet
	r.await(func() bool { return r.call("POST", "/once/", nil).status == http.StatusUnauthorized })
	is.True(time.Since(changed) < revoke)
}

// TestStopFinishesRunningRequests stops the entry while it serves a request.
func TestStopFinishesRunningRequests(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
		running.Add(1)
		time.Sleep(time.Second)
		serveDone(w, q)
	}))
	done := make(chan answer, 1)
	go func() { done <- r.call("POST", "/once/", nil) }()
	r.await(func() bool { return running.Load() == 1 })
	r.stop()
	r.await(func() bool { return r.status(r.ready) == http.StatusServiceUnavailable })
	is.Equal(r.call("GET", "/warm/", nil).status, 200) // the load balancer in front may still send requests
	a := <-done
	is.Equal(a.status, 200)
	is.Equal(a.body, "done")
	select {
	case <-r.ended:
	case <-time.After(8 * time.Second):
		t.Error("the entry did not end within its grace period")
	}
}

// TestCallerDisconnectCancelsRequest checks that a target's request is cancelled within half a second of the caller's
// disconnect: 800 ms after its start, since the caller gives up after 300 ms.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	began := make(chan struct{}, 1)
	r := newRig(t, time.Minute, withWarmRoute(func(_ http.ResponseWriter, q *http.Request) {
		began <- struct{}{}
		<-q.Context().Done()
		ended <- time.Now()
	}))
	client := &http.Client{Timeout: 300 * time.Millisecond}
	q, err := http.NewRequest(http.MethodPost, r.front+"/once/", nil)
	is.NoErr(err)
	q.Host = "desk.example"
	q.Header.Set("Attempt-Id", "leaver")
	q.Header.Set("Timeout-Ms", "1900")
	q.Header.Set("Authorization", "Bearer "+testKey)
	go func() {
		if response, err := client.Do(q); err == nil {
			response.Body.Close()
		}
	}()
	<-began
	start := time.Now()
	is.True((<-ended).Sub(start) < 800*time.Millisecond)
}

// TestFrequentStoreChanges rewrites a target's record all the time: an entry must not call the store for each change,
// since all entries share the store's rate limit.
func TestFrequentStoreChanges(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveDone)
	r.store.calls.Store(0)
	// Watches are 300 ms apart, and everything is read again in two calls every five seconds.
	const seconds = 2
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.registerTarget(r.targets[0], 0, "ready")
		is.Equal(r.call("POST", "/once/", nil).status, 200)
	}
	is.True(r.store.calls.Load() <= seconds*5)
}
