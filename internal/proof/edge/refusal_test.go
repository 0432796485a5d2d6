package edge

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestTargetsOwnRefusalIsNoPromise has a target run requests and fail them with statuses that promise callers that a request has not run.
// With a small memory limit its answers are too long to be held.
func TestTargetsOwnRefusalIsNoPromise(t *testing.T) {
	for _, v := range []struct {
		name   string
		memory int64
		length int
	}{{"held", 0, 6}, {"too long to be held", 256 << 10, 256 << 10}} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			ran := map[string]int{}
			serve := withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				ran[q.Header.Get("Attempt-Id")]++
				mu.Unlock()
				status, err := strconv.Atoi(q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:])
				is.NoErr(err)
				respond(w, q, status, strings.Repeat("x", v.length))
			})
			r := newEditedSite(t, 1, time.Minute, func(_ int, s *site.Settings) { s.Memory = v.memory }, serve, serve)
			for _, path := range []string{"/once/", "/safe/", "/stream/"} {
				for _, status := range []int{400, 404, 408, 409, 429, 500, 503, 504} {
					id := ""
					a := r.call("POST", path+strconv.Itoa(status), func(q *http.Request) { id = q.Header.Get("Attempt-Id") })
					mu.Lock()
					runs := ran[id]
					mu.Unlock()
					is.True(runs > 0 && (path != "/once/" || runs == 1))
					switch {
					case a.status == http.StatusRequestTimeout, a.status == http.StatusTooManyRequests, a.status == http.StatusServiceUnavailable:
						t.Errorf("%s: status %d reached the caller of a request that has run", path, a.status)
					case status < http.StatusInternalServerError && status != 408 && status != 429:
						is.Equal(a.status, status)
						is.Equal(len(a.body), v.length)
					default:
						is.True(a.status >= http.StatusInternalServerError)
					}
				}
			}
		})
	}
}

// TestEachStatusOnEachPath has targets run requests and answer with each final status, on each path that an answer takes to its caller, with
// and without the header that says that the request has not run. Only refusals with that header, and answers of another incarnation, may
// reach the caller as a promise that it has not, and nothing that has run may run again unless it is idempotent.
func TestEachStatusOnEachPath(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	beginStream := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		respond(w, q, http.StatusOK, events)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	tests := []struct {
		name, path string
		memory     int64
		length     int
		// first serves the first attempt; nil if the targets answer with the status from the first attempt on.
		first http.HandlerFunc
		// runs is the largest number of targets that may run a request.
		runs int
	}{
		{"held", "/once/", 0, 6, nil, 1},
		{"too long to be held", "/once/", 256 << 10, 256 << 10, nil, 1},
		{"after a refusal", "/once/", 0, 6, refuse, 1},
		{"idempotent", "/safe/", 0, 6, nil, 2},
		{"idempotent, after a failure", "/safe/", 0, 6, func(w http.ResponseWriter, q *http.Request) { respond(w, q, 500, "failed") }, 1},
		{"stream", "/fixed/", 0, 6, nil, 1},
		{"resumable stream", "/stream/", 0, 6, nil, 2},
		{"resumed stream", "/stream/", 0, 6, beginStream, 1},
	}
	for _, v := range tests {
		for _, refused := range []bool{false, true} {
			t.Run(v.name+"/refused "+strconv.FormatBool(refused), func(t *testing.T) {
				t.Parallel()
				p := newStatusPlay(t, v.memory, v.length, v.first, refused)
				for status := http.StatusSwitchingProtocols; status < 600; status++ {
					if status == http.StatusSwitchingProtocols+1 {
						// Other informational statuses end no answer.
						status = http.StatusOK
					}
					a, ran := p.play(v.path, status)
					notRun := status == http.StatusMisdirectedRequest || refused && saysNotRun(status)
					if promises(a.status) && !notRun {
						t.Errorf("status %d reached the caller of a request that has run and got %d", a.status, status)
					}
					if ran > v.runs && !notRun {
						t.Errorf("a request that got %d ran %d times", status, ran)
					}
					if a.err == nil && a.status < http.StatusMultipleChoices && a.status != status && v.name != "resumed stream" {
						t.Errorf("status %d became the success %d", status, a.status)
					}
					if v.name == "held" && status >= http.StatusOK && !promises(status) && !notRun && (a.status != status || bodyAllowed(status) && len(a.body) != v.length) {
						t.Errorf("status %d reached the caller as %d with %d bytes", status, a.status, len(a.body))
					}
				}
			})
		}
	}
}

// promises reports whether a status tells a caller that its request has not run.
func promises(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// saysNotRun reports whether a status says that a request has not run if the header is set that does.
func saysNotRun(status int) bool {
	return status == 400 || status == 421 || status == 429 || status == 503
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// statusPlay is a rig whose targets answer with the status that the path names.
type statusPlay struct {
	*rig
	mu sync.Mutex
	// ran and seen count the runs and the attempts of requests by ID; guarded by mu.
	ran, seen map[string]int
}

func newStatusPlay(t *testing.T, memory int64, length int, first http.HandlerFunc, refused bool) *statusPlay {
	p := &statusPlay{ran: map[string]int{}, seen: map[string]int{}}
	serve := withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("Attempt-Id")
		p.mu.Lock()
		p.seen[id]++
		isFirst := p.seen[id] == 1
		if first == nil || !isFirst {
			p.ran[id]++
		}
		p.mu.Unlock()
		if first != nil && isFirst {
			first(w, q)
			return
		}
		if refused {
			w.Header().Set("Not-Run", "1")
		}
		status, _ := strconv.Atoi(q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:])
		w.Header().Set("Content-Type", "text/plain")
		body := strings.Repeat("x", length)
		if !bodyAllowed(status) {
			body = ""
		}
		respond(w, q, status, body)
	})
	// The retries of the test are not to be bounded.
	p.rig = newEditedSite(t, 1, time.Minute, func(_ int, s *site.Settings) { s.Memory, s.Retries.Slack = memory, 1e6 }, serve, serve, serve)
	return p
}

// play sends a request and returns the answer and the number of runs.
func (p *statusPlay) play(path string, status int) (a answer, ran int) {
	id := ""
	a = p.call("POST", path+strconv.Itoa(status), func(q *http.Request) { id = q.Header.Get("Attempt-Id") })
	p.mu.Lock()
	defer p.mu.Unlock()
	return a, p.ran[id]
}
