package node

import (
	"context"
	"time"
)

// Pause waits for the duration or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every calls a function at once and then at each interval until the context ends.
// A call that lasts longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		call()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}
