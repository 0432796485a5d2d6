package transport

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestHead reads heads whole and byte by byte.
func TestHead(t *testing.T) {
	const first, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\n"
	tests := []struct {
		name, head string
		valid      bool
	}{
		{"plain", first + rest, true},
		{"without a reason", "HTTP/1.1 200\r\n" + rest, true},
		{"without headers", first + "\r\n", true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + rest, true},
		{"line feeds alone", strings.ReplaceAll(first+rest, "\r", ""), true},
		{"bytes above ASCII in a value", first + "X-Name: r\xeega\r\n" + rest, true},
		{"empty value", first + "X-Name:\r\n" + rest, true},
		{"informational answers before it", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + first + rest, true},
		{"failure", "HTTP/1.1 599 Failed\r\n" + rest, true},
		{"status 000", "HTTP/1.1 000 OK\r\n" + rest, false},
		{"status 600", "HTTP/1.1 600 OK\r\n" + rest, false},
		{"status 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"status with a sign", "HTTP/1.1 +20 OK\r\n" + rest, false},
		{"another version", "HTTP/2.0 200 OK\r\n" + rest, false},
		{"control byte in the reason", "HTTP/1.1 200 O\x08K\r\n" + rest, false},
		{"blank after a name", first + "Content-Length : 4\r\n\r\n", false},
		{"blank in a name", first + "Content Length: 4\r\n\r\n", false},
		{"line that goes on", first + "X-Name: a\r\n b\r\n" + rest, false},
		{"blank line before the headers", first + " \r\n" + rest, false},
		{"control byte in a name", first + "X\x7fName: a\r\n" + rest, false},
		{"control byte in a value", first + "X-Name: a\x07\r\n" + rest, false},
		{"two carriage returns", first + "X-Name: a\r\r\n" + rest, false},
		{"coding in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-encoding: chunked\r\n\r\n", false},
	}
	for _, v := range tests {
		for _, size := range []int{1, len(v.head)} {
			t.Run(fmt.Sprintf("%s/%d", v.name, size), func(t *testing.T) {
				is := is.New(t)
				h, complete := &head{}, false
				var err error
				for at := 0; at < len(v.head) && err == nil; at += size {
					is.True(!complete)
					complete, err = h.add([]byte(v.head[at : at+size]))
				}
				is.Equal(err == nil, v.valid)
				is.Equal(complete, v.valid)
			})
		}
	}
}

// TestEachHeadOfAConnection has a server send a second answer on a connection, with a head that is not valid.
func TestEachHeadOfAConnection(t *testing.T) {
	is := is.New(t)
	url := serve(t, func(c *net.TCPConn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
		if _, err := c.Read(make([]byte, 1<<10)); err == nil {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type : text/plain\r\n\r\ndone")
		}
	})
	transport := New(&http.Transport{})
	answer, err := post(t.Context(), transport, url, strings.NewReader("x"))
	is.NoErr(err)
	is.Equal(answer, "done")
	_, err = post(t.Context(), transport, url, strings.NewReader("x"))
	is.True(err != nil && strings.Contains(err.Error(), "not an answer"))
}
