package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve answers each connection at an address of its own with a function, which gets the connection once it has sent something.
func serve(t *testing.T, answer func(c *net.TCPConn)) (url string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 1<<10)); err == nil {
					answer(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a body and returns the whole answer.
func post(ctx context.Context, t *Transport, url string, body io.Reader) (answer string, err error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return "", err
	}
	response, err := (&http.Client{Transport: t}).Do(q)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// TestResetWhileWriting has a server answer while the request is still being written and then end the connection. It guards against a reset that
// only the write learns of: the read after it sees an orderly end.
func TestResetWhileWriting(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\n\r\n"
	tests := []struct {
		name, answer string
		// ended is set if the server ends its side before the reset; waits is set if it reads nothing for a while after that.
		ended, waits bool
		want         string
		broken       bool
	}{
		{"reset", plain + "part", false, false, "", true},
		{"ended and reset", plain + "whole", true, false, "whole", false},
		{"ended, the request unread", plain + "whole", true, true, "whole", false},
		{"reset within a length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false, false, "", true},
		{"reset after a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false, false, "whole", false},
		{"reset within chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, false, "", true},
		{"reset in the head", "HTTP/1.1 200 OK\r\n", false, false, "", true},
	}
	for _, v := range tests {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept %t", v.name, kept), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				url := serve(t, func(c *net.TCPConn) {
					fmt.Fprint(c, v.answer)
					time.Sleep(20 * time.Millisecond)
					if v.ended {
						_ = c.CloseWrite()
						time.Sleep(10 * time.Millisecond)
					}
					if v.waits {
						time.Sleep(time.Second)
					}
					_ = c.SetLinger(0)
				})
				transport := New(&http.Transport{DisableKeepAlives: !kept})
				tries := 20
				if v.waits {
					tries = 1
				}
				for range tries {
					began := time.Now()
					answer, err := post(t.Context(), transport, url, strings.NewReader(strings.Repeat("x", 8<<20)))
					is.Equal(err != nil, v.broken)
					if !v.broken {
						is.Equal(answer, v.want)
						is.True(time.Since(began) < 900*time.Millisecond)
					}
				}
			})
		}
	}
}

// TestClosedIdleConnection has a server close each connection after its answer without a word. A request that may be repeated goes over another
// one, whether the write or the read finds the connection closed.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	url := serve(t, func(c *net.TCPConn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone") })
	client := &http.Client{Transport: New(&http.Transport{})}
	for range 200 {
		response, err := client.Get(url)
		is.NoErr(err)
		answer, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(answer), "done")
		response.Body.Close()
	}
}

// TestDecodeJSON reads bodies that are no whole JSON value, each of which begins with one.
func TestDecodeJSON(t *testing.T) {
	const ok, length = "HTTP/1.1 200 OK\r\n", "Content-Length: %d\r\n"
	tests := []struct {
		name, head, body string
		reset, valid     bool
	}{
		{"whole", ok + length, `{"running":3}`, false, true},
		{"without a length", ok, `{"running":3}`, false, true},
		{"as long as the limit", ok + length, `{"running":3}` + strings.Repeat(" ", 51), false, true},
		{"longer than the limit", ok + length, `{"running":3}` + strings.Repeat(" ", 52), false, false},
		{"broken off after a value", ok + "Content-Length: 2%d\r\n", `{"running":3}`, false, false},
		{"without a length, reset", ok, `{"running":3}`, true, false},
		{"more than a value", ok + length, `{"running":3}{"running":4}`, false, false},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n" + length, `{"running":3}`, false, false},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			head := v.head
			if strings.Contains(head, "%d") {
				head = fmt.Sprintf(head, len(v.body))
			}
			url := serve(t, func(c *net.TCPConn) {
				fmt.Fprintf(c, "%s\r\n%s", head, v.body)
				if v.reset {
					time.Sleep(20 * time.Millisecond)
					_ = c.SetLinger(0)
				}
			})
			response, err := (&http.Client{Transport: New(&http.Transport{})}).Get(url)
			is.NoErr(err)
			defer response.Body.Close()
			var load struct {
				Running int `json:"running"`
			}
			err = DecodeJSON(response, 64, &load)
			is.Equal(err == nil, v.valid)
		})
	}
}
