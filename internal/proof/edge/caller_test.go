package edge

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/caller"
)

// sendRaw sends the headers of a request for a stream over a new connection and returns the connection.
func (r *rig) sendRaw(version string, length int) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(r.front, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /stream/ %s\r\nHost: desk.example\r\nAttempt-Id: raw\r\nTimeout-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		version, testKey, length)
	return conn
}

// TestOldProtocolIsRefused checks that a caller which could not see that an answer is truncated gets none.
func TestOldProtocolIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) { writeEvents(w, q, 1, 3, true) }))
	before := r.targets[0].count()
	response, err := http.ReadResponse(bufio.NewReader(r.sendRaw("HTTP/1.0", 0)), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusHTTPVersionNotSupported)
	is.Equal(r.targets[0].count(), before)
}

// TestBodyThatNeverArrives checks that a caller which does not send its body does not keep its connection for ever.
func TestBodyThatNeverArrives(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig(t, time.Minute, serveDone)
	conn := r.sendRaw("HTTP/1.1", 10)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(caller.BodyTimeout + 5*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}

// TestHalfClosedCallerGetsNoSuccess checks that a caller which closes its sending side early gets no empty success.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) { <-q.Context().Done() }))
	conn := r.sendRaw("HTTP/1.1", 0)
	time.Sleep(100 * time.Millisecond)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		response.Body.Close()
		is.True(response.StatusCode >= http.StatusInternalServerError)
	}
}

// endedRequests returns the number of requests that ended without a complete answer.
func (r *rig) endedRequests() (n int) {
	response, err := http.Get("http://" + r.settings.Metrics.String() + "/metrics")
	if err != nil {
		r.t.Fatal(err)
	}
	defer response.Body.Close()
	var page struct{ Requests map[string]int }
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		r.t.Fatal(err)
	}
	for outcome, count := range page.Requests {
		if strings.Contains(outcome, "left") || strings.Contains(outcome, "broken") {
			n += count
		}
	}
	return n
}

// TestCallerThatReadsNothing checks that a caller which reads nothing of its answer does not keep its request for ever.
func TestCallerThatReadsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	text := strings.Repeat("x", 64<<10)
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
		w.Header().Set("Engine-Seal", "seal")
		for i := 1; q.Context().Err() == nil; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, text)
		}
	}))
	r.sendRaw("HTTP/1.1", 0)
	began := time.Now()
	for r.endedRequests() == 0 && time.Since(began) < caller.WriteTimeout+5*time.Second {
		time.Sleep(100 * time.Millisecond)
	}
	is.True(r.endedRequests() > 0)
}

// TestEndlessEvent checks that an event without an end does not fill the memory of an entry.
func TestEndlessEvent(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
		w.Header().Set("Engine-Seal", "seal")
		part := strings.Repeat("x", 64<<10)
		for q.Context().Err() == nil && sent.Load() < 256<<20 {
			n, err := io.WriteString(w, part)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	}))
	a := r.call("POST", "/fixed/", nil)
	is.Equal(a.status, http.StatusBadGateway)
	is.True(sent.Load() < 64<<20)
}
