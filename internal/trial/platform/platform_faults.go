package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// SetDelay holds each value back for a time.
func (p *Platform) SetDelay(delay time.Duration) {
	p.change(func() { p.delay = delay })
}

// SetTruncated cuts each value off in the middle, or sends whole values again.
func (p *Platform) SetTruncated(partial bool) {
	p.change(func() { p.partial = partial })
}

// hold waits for a time or the end of the context.
func hold(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// send writes a value, or its first half and then the end of the connection.
func send(w http.ResponseWriter, data []byte, partial bool) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !partial {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	panic(http.ErrAbortHandler)
}
