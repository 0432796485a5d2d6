package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sendRaw sends a request for a stream over a new connection and returns the connection.
func (r *rig) sendRaw(version string) net.Conn {
	r.t.Helper()
	conn, err := net.Dial("tcp4", strings.TrimPrefix(r.front, "http://"))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, "POST /stream/ %s\r\nHost: desk.example\r\nAttempt-Id: raw\r\nTimeout-Ms: 1500\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		version, testKey)
	return conn
}

// TestOldProtocolIsRefused checks that a caller which could not see that an answer is truncated gets none.
func TestOldProtocolIsRefused(t *testing.T) {
	is := is.New(t)
	r := newRig(t, time.Minute, withWarmRoute(func(w http.ResponseWriter, q *http.Request) { writeEvents(w, q, 1, 3, true) }))
	before := r.targets[0].count()
	response, err := http.ReadResponse(bufio.NewReader(r.sendRaw("HTTP/1.0")), nil)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusHTTPVersionNotSupported)
	is.Equal(r.targets[0].count(), before)
}
