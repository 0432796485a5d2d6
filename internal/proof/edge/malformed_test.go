package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// malformedHeads are heads of answers that are not valid by RFC 9112, with their bodies. The ID stands for that of the request.
var malformedHeads = []struct {
	name, status, headers, body string
	// all is set if the head is sent on all paths.
	all bool
}{
	{"blank after the name of a coding", "HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", true},
	{"blank after the name of a length", "HTTP/1.1 200 OK", "Content-Length : 4\r\n", "done, and more", false},
	{"blank in a name", "HTTP/1.1 200 OK", "X Name: 1\r\nContent-Length: 4\r\n", "done", false},
	{"blank before a name", "HTTP/1.1 200 OK", "X-Name: 1\r\n Transfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", true},
	{"tab before a name", "HTTP/1.1 200 OK", "X-Name: 1\r\n\tContent-Length: 4\r\n", "done, and more", false},
	{"tab after a name", "HTTP/1.1 200 OK", "Transfer-Encoding\t: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", false},
	{"control byte in a name", "HTTP/1.1 200 OK", "X\x01Name: 1\r\nContent-Length: 4\r\n", "done", true},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK", "X\xe9Name: 1\r\nContent-Length: 4\r\n", "done", false},
	{"control byte in a value", "HTTP/1.1 200 OK", "X-Name: a\x00b\r\nContent-Length: 4\r\n", "done", false},
	{"carriage return in a value", "HTTP/1.1 200 OK", "X-Name: a\rTransfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", false},
	{"no name", "HTTP/1.1 200 OK", ": 1\r\nContent-Length: 4\r\n", "done", false},
	{"no colon", "HTTP/1.1 200 OK", "X-Name\r\nContent-Length: 4\r\n", "done", false},
	{"coding in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", "4\r\ndone\r\n0\r\n\r\n", false},
	{"blank in a name of an informational answer", "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 4\r\n", "done", false},
	{"status 000", "HTTP/1.1 000 OK", "Content-Length: 4\r\n", "done", true},
	{"status 099", "HTTP/1.1 099 OK", "Content-Length: 4\r\n", "done", false},
	{"status 600", "HTTP/1.1 600 OK", "Content-Length: 4\r\n", "done", false},
	{"status 999", "HTTP/1.1 999 OK", "Content-Length: 4\r\n", "done", false},
	{"status with a sign", "HTTP/1.1 +20 OK", "Content-Length: 4\r\n", "done", false},
	{"status with another digit", "HTTP/1.1 2000 OK", "Content-Length: 4\r\n", "done", false},
	{"status of two digits", "HTTP/1.1 20 OK", "Content-Length: 4\r\n", "done", false},
	{"informational status 000 first", "HTTP/1.1 000\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 4\r\n", "done", false},
	{"control byte in the status line", "HTTP/1.1 200 O\x01K", "Content-Length: 4\r\n", "done", false},
	{"HTTP/2.0", "HTTP/2.0 200 OK", "Content-Length: 4\r\n", "done", true},
	{"HTTP/0.9", "HTTP/0.9 200 OK", "Content-Length: 4\r\n", "done", false},
}

// TestMalformedHeadsAreNoAnswers has a target send heads that are none, on each path that an answer takes to its caller. It guards against a line
// that is dropped or taken for another one, so that callers get a body with its coding or length left out of account.
func TestMalformedHeadsAreNoAnswers(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	paths := []struct {
		name, path string
		// memory is the memory limit of the entry; zero for none.
		memory int64
		// media is the media type of the malformed answer.
		media, body string
		// status and answer are what the caller gets.
		status int
		answer string
	}{
		{"plain", "/once/", 0, "text/plain", "", 502, ""},
		{"too long to be held", "/once/", 256 << 10, "text/plain", strings.Repeat("x", 256<<10), 502, ""},
		{"idempotent", "/safe/", 0, "text/plain", "", 200, "done"},
		{"stream", "/fixed/", 0, "text/event-stream", events, 502, ""},
		{"resumable stream", "/stream/", 0, "text/event-stream", events, 200, "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"},
		{"resumed stream", "/stream/resumed", 0, "text/event-stream", events, 200, "id: 1\ndata: piece 1\n\n"},
	}
	for _, v := range paths {
		for _, h := range malformedHeads {
			if !h.all && v.name != "plain" {
				continue
			}
			t.Run(v.name+"/"+h.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var mu sync.Mutex
				attempts := 0
				handle := withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
					mu.Lock()
					attempts++
					n := attempts
					mu.Unlock()
					resumed := strings.HasSuffix(v.path, "resumed")
					switch {
					case resumed && n == 1:
						writeEvents(w, q, 1, 1, true)
					case resumed || n == 1:
						writeRaw(w, q, h.status, "Content-Type: "+v.media+"\r\n"+h.headers, h.body+v.body)
					case v.media == "text/plain":
						serveDone(w, q)
					default:
						writeEvents(w, q, 1, 2, false)
					}
				})
				r := &rig{edit: func(_ int, s *site.Settings) { s.Memory = v.memory }}
				r.startSite(t, 1, time.Minute, handle, handle, handle)
				a := r.call("POST", v.path, nil)
				is.Equal(a.status, v.status)
				if v.status == http.StatusOK {
					is.Equal(a.err != nil, strings.HasSuffix(v.path, "resumed")) // no target can go on
					is.Equal(a.body, v.answer)
				}
			})
		}
	}
}

// writeRaw answers a request with a head of its own, whose status line and headers are given, and ends the connection.
func writeRaw(w http.ResponseWriter, r *http.Request, status, headers, body string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s\r\nAttempt-Id: %s\r\nEngine-Seal: seal\r\n%s\r\n%s", status, r.Header.Get("Attempt-Id"), headers, body)
}

// TestMalformedHeadsOfThePlatform has the store, and the engine next to a slot, send heads that are none before what is a valid body of each of
// their answers.
func TestMalformedHeadsOfThePlatform(t *testing.T) {
	const body = `{"group":{"name":"g","epoch":1,"rank":0,"state":"open"},"size":1,"counts":[1],"items":[],"asOf":1,"value":{}}`
	answer := func(t *testing.T, status, headers, body string) netip.AddrPort {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			writeRaw(w, q, status, "Instance-Id: i-1\r\n"+headers, body)
		}))
		t.Cleanup(server.Close)
		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	for _, c := range platformCalls {
		t.Run(c.name, func(t *testing.T) {
			for _, h := range malformedHeads {
				// Without a length the body is whole whatever the head says.
				headers := strings.ReplaceAll(h.headers, "Content-Length: 4\r\n", "")
				if err := c.call(t.Context(), answer(t, h.status, headers, body)); err == nil {
					t.Errorf("%s: taken for an answer", h.name)
				}
			}
		})
	}
}
