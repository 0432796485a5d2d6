package site

import (
	"context"
	"time"
)

// pauseThreshold is the time between two polls from which this program counts as paused by the machine.
const pauseThreshold = pingTimeout / 4

// detectPauses records the pauses of this program until the context ends.
func (l *ledger) detectPauses(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, pollInterval) {
		now := time.Now()
		l.recordPause(last, now)
		last = now
	}
}

// recordPause records the time between two polls if it is a pause. The time span includes pingTimeout after the
// pause, since a connection that the pause broke may be detected only then.
func (l *ledger) recordPause(last, now time.Time) {
	if now.Sub(last) < pauseThreshold {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses = append(l.pauses, timeSpan{from: last, until: now.Add(pingTimeout)})
}
