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

// warm lets a handler serve the rig's own requests well.
func warm(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/warm/") {
			serveWell(w, r)
			return
		}
		handle(w, r)
	}
}

// TestAnswers checks what a caller gets, and how many targets may have run the request, for each way in which a target fails.
func TestAnswers(t *testing.T) {
	wrongID := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Attempt-Id", "another")
		serveWell(w, r)
	}
	unsealed := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		fmt.Fprint(w, "no seal")
	}
	truncated := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		echo(w, r, http.StatusOK, "half")
	}
	garbage := func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			fmt.Fprint(conn, "no answer at all\r\n\r\n")
			conn.Close()
		}
	}
	misdirected := func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	failing := func(w http.ResponseWriter, r *http.Request) { echo(w, r, http.StatusInternalServerError, "failed") }
	promise := func(w http.ResponseWriter, r *http.Request) {
		echo(w, r, http.StatusServiceUnavailable, "ran and failed")
	}
	silent := func(w http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	tests := []struct {
		name          string
		path          string
		first, second http.HandlerFunc
		status        int
		// arrivals are those at the first and the second target.
		arrivals [2]int
	}{
		{"once: served", "/once/", serveWell, serveWell, 200, [2]int{1, 0}},
		{"once: connection lost after the request", "/once/", reset, serveWell, 502, [2]int{1, 0}},
		{"once: refused, served by another", "/once/", refuse, serveWell, 200, [2]int{1, 1}},
		{"once: another incarnation at the address", "/once/", misdirected, serveWell, 200, [2]int{1, 1}},
		{"once: all refuse", "/once/", refuse, refuse, 503, [2]int{1, 1}},
		{"once: answer of another request", "/once/", wrongID, serveWell, 502, [2]int{1, 0}},
		{"once: answer without a seal", "/once/", unsealed, serveWell, 502, [2]int{1, 0}},
		{"once: truncated answer", "/once/", truncated, serveWell, 502, [2]int{1, 0}},
		{"once: no HTTP", "/once/", garbage, serveWell, 502, [2]int{1, 0}},
		{"once: the target's own failure", "/once/", failing, serveWell, 500, [2]int{1, 0}},
		{"once: a failure that would promise too much", "/once/", promise, serveWell, 502, [2]int{1, 0}},
		{"once: silence until the time limit", "/once/", silent, serveWell, 504, [2]int{1, 0}},
		{"safe: connection lost", "/safe/", reset, serveWell, 200, [2]int{1, 1}},
		{"safe: failure", "/safe/", failing, serveWell, 200, [2]int{1, 1}},
		{"safe: both fail", "/safe/", failing, failing, 500, [2]int{1, 1}},
		{"safe: truncated answer", "/safe/", truncated, serveWell, 200, [2]int{1, 1}},
		{"safe: silence", "/safe/", silent, serveWell, 200, [2]int{1, 1}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, time.Minute, warm(v.first), warm(v.second))
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

// TestTargetThatDoesNotListen checks that a request that was never sent goes to another target.
func TestTargetThatDoesNotListen(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveWell, serveWell)
	r.targets[0].Close()
	a := r.call("POST", "/once/", nil)
	is.Equal(a.status, 200)
	is.Equal(a.body, "done")
}

// TestHeaders checks what a target gets of a caller's request.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveWell)
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
	is.Equal(h.Get("Tenant"), testSpace)
	is.Equal(h.Get("Expect-Instance"), "i-0")
	is.Equal(h.Get("Authorization"), "")
	is.Equal(h.Get("X-Hop"), "")
	is.Equal(h.Get("X-Kept"), "1")
	left, err := strconv.Atoi(h.Get("Timeout-Ms"))
	is.NoErr(err)
	is.True(left > 1000 && left <= 1500)
}

// tell writes events from one to another; it stops in the middle of the next one if told to.
func tell(w http.ResponseWriter, r *http.Request, from, to int, broken bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Engine-Seal", "seal")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
	if broken {
		fmt.Fprintf(w, "id: %d\ndata: pie", to+1)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// TestStreams breaks streams in the middle of an event.
func TestStreams(t *testing.T) {
	whole := ""
	for i := 1; i <= 6; i++ {
		whole += fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	half := whole[:strings.Index(whole, "id: 4")]
	goOn := func(w http.ResponseWriter, r *http.Request) {
		// Without the header the stream begins with its first event.
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		tell(w, r, from+1, 6, false)
	}
	breakOff := func(w http.ResponseWriter, r *http.Request) { tell(w, r, 1, 3, true) }
	tests := []struct {
		name, path    string
		first, second http.HandlerFunc
		body          string
		broken        bool
	}{
		{"whole", "/stream/", goOn, goOn, whole, false},
		{"goes on at another target", "/stream/", breakOff, goOn, whole, false},
		{"may not go on elsewhere", "/fixed/", breakOff, goOn, half, true},
		{"cannot go on", "/stream/", breakOff, refuse, half, true},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, time.Minute, warm(v.first), warm(v.second))
			a := r.call("POST", v.path, nil)
			is.Equal(a.status, 200)
			is.Equal(a.body, v.body)
			is.Equal(a.err != nil, v.broken)
		})
	}
}

// TestKeys checks keys against configurations, with and without the store.
func TestKeys(t *testing.T) {
	is := is.New(t)
	const revoke = 3 * time.Second
	r := newRig(t, revoke, serveWell)
	is.Equal(r.call("POST", "/once/", nil).status, 200)
	is.Equal(r.call("POST", "/once/", func(q *http.Request) { q.Header.Set("Authorization", "Bearer other") }).status, 401)
	is.Equal(r.call("POST", "/unknown/", nil).status, 404)
	r.configure(2, "k-2")
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 401 })
	r.configure(3, testKey)
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 200 })

	r.store.away.Store(true)
	lost := time.Now()
	last := lost
	for time.Since(lost) < revoke+time.Second {
		if r.call("POST", "/once/", nil).status == 200 {
			last = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(last.Sub(lost) < revoke)                       // a key that may have been removed works no longer
	is.Equal(r.call("POST", "/once/", nil).status, 503)    // but nobody says that it is unknown
	is.Equal(r.call("POST", "/unknown/", nil).status, 503) // nor that a route is
	is.Equal(r.call("GET", "/warm/", nil).status, 200)     // and routes without a key are served on
	r.store.away.Store(false)
	r.await(func() bool { return r.call("POST", "/once/", nil).status == 200 })
}

// TestKeysOutliveTheStore checks that keys work for at least three fifths of their time after the store goes away,
// at whatever moment of a watch (RULES: from then on such requests are not owed).
func TestKeysOutliveTheStore(t *testing.T) {
	const revoke = 5 * time.Second
	for i := range 4 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, revoke, serveWell)
			time.Sleep(time.Duration(i+1) * 970 * time.Millisecond)
			r.store.away.Store(true)
			lost := time.Now()
			for time.Since(lost) < revoke*3/5 {
				is.Equal(r.call("POST", "/once/", nil).status, 200)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestLeavingTargetGetsNoWork checks that a target gets nothing two seconds after the store knows that it leaves.
func TestLeavingTargetGetsNoWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveWell, serveWell)
	r.list(r.targets[0], 0, "draining")
	told := time.Now()
	before := r.targets[0].count()
	last := told
	for time.Since(told) < 3*time.Second {
		is.Equal(r.call("POST", "/once/", nil).status, 200)
		if n := r.targets[0].count(); n != before {
			before, last = n, time.Now()
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(last.Sub(told) < 2*time.Second)
}

// TestMissedChangesAreFound lets the store's watches tell nothing: a key that was taken away must not work for longer than the
// time that it may, nor a target that is gone get work for ever.
func TestMissedChangesAreFound(t *testing.T) {
	is := is.New(t)
	const revoke = 6 * time.Second
	r := newRig(t, revoke, serveWell, serveWell)
	r.store.deaf.Store(true)
	r.configure(50, "another")
	r.list(r.targets[0], 0, "draining")
	told := time.Now()
	is.Equal(r.call("POST", "/once/", nil).status, 200) // nobody has told the entry
	r.await(func() bool { return r.call("POST", "/once/", nil).status == http.StatusUnauthorized })
	is.True(time.Since(told) < revoke)
}

// TestStopServesWhatIsInProgress stops the entry while it serves.
func TestStopServesWhatIsInProgress(t *testing.T) {
	is := is.New(t)
	var running atomic.Int64
	r := newRig(t, time.Minute, warm(func(w http.ResponseWriter, q *http.Request) {
		running.Add(1)
		time.Sleep(time.Second)
		serveWell(w, q)
	}))
	done := make(chan answer, 1)
	go func() { done <- r.call("POST", "/once/", nil) }()
	r.await(func() bool { return running.Load() == 1 })
	r.stop()
	r.await(func() bool { return r.status(r.ready) == http.StatusServiceUnavailable })
	is.Equal(r.call("GET", "/warm/", nil).status, 200) // the balancer may still send requests
	a := <-done
	is.Equal(a.status, 200)
	is.Equal(a.body, "done")
	select {
	case <-r.ended:
	case <-time.After(8 * time.Second):
		t.Error("the entry did not end within its grace period")
	}
}

// TestCallerThatLeaves checks that a target's work ends within half a second of the caller's leaving.
func TestCallerThatLeaves(t *testing.T) {
	is := is.New(t)
	ended := make(chan time.Time, 1)
	began := make(chan struct{}, 1)
	r := newRig(t, time.Minute, warm(func(_ http.ResponseWriter, q *http.Request) {
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

// TestStoreThatChangesAllTheTime lets the targets' entries be written anew all the time: an entry must not call the store each
// time, since all of them share its rate.
func TestStoreThatChangesAllTheTime(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, serveWell)
	r.store.calls.Store(0)
	// Watches are 300 ms apart, and everything is read anew in two calls every five seconds.
	const seconds = 2
	for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.list(r.targets[0], 0, "ready")
		is.Equal(r.call("POST", "/once/", nil).status, 200)
	}
	is.True(r.store.calls.Load() <= seconds*5)
}
