package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// conn is a connection to a server. The transport reads from one goroutine and writes from another.
type conn struct {
	net.Conn
	// next is set if the bytes that follow begin an answer.
	next atomic.Bool
	// head is the head of an answer that is being read, or nil. Only the reader uses it.
	head *head
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

func newConn(c net.Conn) *conn {
	n := &conn{Conn: c}
	n.expectHead()
	return n
}

// expectHead makes the bytes that are read next the head of an answer.
func (c *conn) expectHead() { c.next.Store(true) }

// beginRequest begins another request.
func (c *conn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// Read implements net.Conn. It fails at the first line of a head that is not valid.
func (c *conn) Read(data []byte) (n int, err error) {
	if c.fault != nil {
		return 0, c.fault
	}
	n, err = c.Conn.Read(data)
	if fault := c.checkHead(data[:n]); fault != nil {
		c.fault = merry.Prepend(fault, "not an answer")
		return 0, c.fault
	}
	if errors.Is(err, io.EOF) {
		c.fault = c.endOfInput()
		return n, c.fault
	}
	return n, err
}

// checkHead checks the bytes that belong to the head of an answer.
func (c *conn) checkHead(data []byte) error {
	if len(data) > 0 && c.next.CompareAndSwap(true, false) {
		c.head = &head{}
	}
	if c.head == nil {
		return nil
	}
	complete, err := c.head.add(data)
	if complete {
		c.head = nil
	}
	return err
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
