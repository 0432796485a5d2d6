package failure

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestAnswerCutInItsHeadIsNoAnswer has a service close its connection inside the head of its answers.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 40\r\n\r\n"
	var cut, runs atomic.Int64
	s := newSite(t, siteOptions{centres: 1, entries: 1, services: 2, wrap: func(_ string, h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, "/v1/holds") {
				h.ServeHTTP(w, r)
				return
			}
			runs.Add(1)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			fmt.Fprint(conn, head[:cut.Load()])
		})
	}})
	for n := range int64(len(head) - 1) {
		cut.Store(n)
		before := runs.Load()
		a, _ := s.processes["entry-c1-0"].sendWithKey(request{path: "/v1/holds", body: fmt.Sprint("room ", n)})
		is.True(a.status != http.StatusOK)                               // cut after n bytes
		is.True(runs.Load() == before || a.problem.Outcome != "not-run") // it has run
		is.True(runs.Load() <= before+1)                                 // it may run once
	}
	is.True(runs.Load() > 10)
}
