package edge

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAnswerCutInItsHeadIsNoAnswer has a target close its connection after each number of bytes of its answer's head.
func TestAnswerCutInItsHeadIsNoAnswer(t *testing.T) {
	tests := []struct {
		name, path, headers string
	}{
		{"length", "/once/", "Content-Type: text/plain\r\nContent-Length: 120\r\n"},
		{"chunks", "/once/", "Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n"},
		{"neither", "/once/", "Content-Type: text/plain\r\nServer-Timing: t\r\n"},
		{"no body", "/once/", "Content-Length: 0\r\n"},
		{"stream", "/fixed/", "Content-Type: text/event-stream\r\n"},
		{"resumable stream", "/stream/", "Content-Type: text/event-stream\r\n"},
		{"after an informational answer", "/once/", "Content-Type: text/plain\r\n"},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			cut, ran := 0, map[string]bool{}
			head := func(id string) string {
				h := "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nEngine-Seal: seal\r\n" + v.headers + "\r\n"
				if strings.HasPrefix(v.name, "after") {
					h = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + h
				}
				return h
			}
			r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				ran[q.URL.Path] = true
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fmt.Fprint(conn, head(q.Header.Get("Attempt-Id"))[:cut])
			}))
			for n := range len(head("1000")) - 1 {
				mu.Lock()
				cut = n
				mu.Unlock()
				path := v.path + strconv.Itoa(n)
				a := r.call("POST", path, nil)
				mu.Lock()
				is.True(a.err != nil || a.status >= http.StatusInternalServerError) // cut after n bytes
				is.True(!ran[path] || a.status != http.StatusServiceUnavailable)    // it has run
				mu.Unlock()
			}
			is.True(len(ran) > 40)
		})
	}
}
