package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection to a server. The transport reads from one goroutine and writes from another.
type conn struct {
	net.Conn
	// fault is the error of all further reads, or nil. Only the reader uses it.
	fault error
	writer
}

// writer is the writing side of a connection.
type writer struct {
	mu sync.Mutex
	// begun is set once a part of the latest request was written.
	begun bool
	// lost is the first error of a write, or nil.
	lost error
}

// beginRequest begins another request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (n int, err error) {
	if c.fault != nil {
		return 0, c.fault
	}
	n, err = c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		c.fault = c.endOfInput()
		return n, c.fault
	}
	return n, err
}

// endOfInput returns io.EOF if the server has ended its side of the connection, or else the error that ended the connection. The kernel reports a
// reset only once, to a read or to a write, and after that each read looks like an orderly end.
func (c *conn) endOfInput() error {
	// This ends a write that waits, as nothing that it could add would be answered.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lost == nil, errors.Is(c.lost, syscall.EPIPE), errors.Is(c.lost, os.ErrDeadlineExceeded):
		return io.EOF
	}
	return c.lost
}

// Write implements net.Conn. Once a part of a request was written, errors are left to the reader: the server may have answered before it lost
// interest in the rest, and the transport closes a connection that it can't write to.
func (c *conn) Write(data []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		n, c.lost = c.Conn.Write(data)
		c.begun = c.begun || n > 0
	}
	if c.lost != nil && !c.begun {
		return n, c.lost
	}
	return len(data), nil
}
