package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// SetDelay delays each value by a time.
func (p *Platform) SetDelay(delay time.Duration) {
	p.update(func() { p.delay = delay })
}

// SetTruncated makes each answer end in the middle of the value until it is reset.
func (p *Platform) SetTruncated(truncated bool) {
	p.update(func() { p.truncated = truncated })
}

// sleep waits until a time has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
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

// writeValue writes a value, or writes its first half and closes the connection.
func writeValue(w http.ResponseWriter, data []byte, truncated bool) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if !truncated {
		_, _ = w.Write(data)
		return
	}
	_, _ = w.Write(data[:len(data)/2])
	panic(http.ErrAbortHandler)
}
