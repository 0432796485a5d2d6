package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// The ways in which a target ends its side of a connection while the entry still writes a request to it.
const (
	// endReset resets the connection.
	endReset = iota
	// endClose ends the answer and goes on reading the request.
	endClose
	// endCloseReset ends the answer, and then resets the connection.
	endCloseReset
)

// uploadSize is the size of a request's body in bytes, more than sockets buffer.
const uploadSize = 6 << 20

// answerEarly returns a handler that answers before it has read the body of the request. The head has the ID of the request added.
func answerEarly(head, body string, end int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		conn := c.(*net.TCPConn)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEngine-Seal: seal\r\n%s\r\n%s", r.Header.Get("Attempt-Id"), head, body)
		// The answer arrives, and the request fills the buffers.
		time.Sleep(40 * time.Millisecond)
		if end != endReset {
			_ = conn.CloseWrite()
		}
		switch end {
		case endClose:
			_, _ = io.Copy(io.Discard, conn)
		case endCloseReset:
			time.Sleep(20 * time.Millisecond)
			fallthrough
		case endReset:
			_ = conn.SetLinger(0)
		}
	}
}

// upload gives a request a long body.
func upload(q *http.Request) {
	q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, uploadSize))), uploadSize
}

// TestEarlyAnswers has a target answer while a long request is still being written to it, and end the connection in different ways. It guards
// against a reset that the writing side alone learns of, so that a truncated answer without a length looked complete, and against complete
// answers that were lost because the rest of the request could not be written.
func TestEarlyAnswers(t *testing.T) {
	const stream, long = "Content-Type: text/event-stream\r\n", 256 << 10
	const whole, resumed = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: piece 2\n\n"
	tests := []struct {
		name, path, head, body string
		end                    int
		// memory is the memory limit of the entry; zero for none.
		memory int64
		status int
		answer string
		broken bool
	}{
		{"plain, reset", "/once/", "", "part", endReset, 0, 502, "", false},
		{"plain, ended", "/once/", "", "whole", endClose, 0, 200, "whole", false},
		{"plain, ended and reset", "/once/", "", "whole", endCloseReset, 0, 200, "whole", false},
		{"plain with a length, reset", "/once/", "Content-Length: 9\r\n", "part", endReset, 0, 502, "", false},
		{"plain with a length, complete and reset", "/once/", "Content-Length: 5\r\n", "whole", endReset, 0, 200, "whole", false},
		{"chunks, reset", "/once/", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", endReset, 0, 502, "", false},
		{"passed on in parts, reset", "/once/", "", strings.Repeat("x", long), endReset, 4*uploadSize + 160<<10, 200, "", true},
		{"passed on in parts, ended", "/once/", "", strings.Repeat("x", long), endClose, 4*uploadSize + 160<<10, 200, strings.Repeat("x", long), false},
		{"idempotent, reset", "/safe/", "", "part", endReset, 0, 200, "done", false},
		{"stream, reset", "/fixed/", stream, whole, endReset, 0, 200, "", true},
		{"stream, ended", "/fixed/", stream, whole, endClose, 0, 200, whole, false},
		{"resumable stream, reset", "/stream/", stream, "id: 1\ndata: a\n\n", endReset, 0, 200, resumed, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := &rig{timeoutMs: 6000, goalMs: 6000, bodyLimit: uploadSize, edit: func(_ int, s *site.Settings) { s.Memory = v.memory }}
			// Another attempt of the same request, at whichever target, is served as usual.
			var mu sync.Mutex
			attempts := map[string]int{}
			handle := withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
				id := q.Header.Get("Attempt-Id")
				mu.Lock()
				attempts[id]++
				first := attempts[id] == 1
				mu.Unlock()
				switch {
				case first:
					answerEarly(v.head, v.body, v.end)(w, q)
				case v.path == "/stream/":
					writeEvents(w, q, 2, 2, false)
				default:
					serveDone(w, q)
				}
			})
			r.startSite(t, 1, time.Minute, slices.Repeat([]http.HandlerFunc{handle}, 12)...)
			for i := range 8 {
				a := r.call("POST", v.path+strconv.Itoa(i), upload)
				is.Equal(a.status, v.status)
				is.Equal(a.err != nil, v.broken)
				if v.status == http.StatusOK && !v.broken {
					is.True(a.body == v.answer)
				}
			}
		})
	}
}
