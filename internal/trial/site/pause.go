package site

import (
	"context"
	"time"
)

// pauseLimit is the delay of a timer from which this program counts as paused by its machine.
const pauseLimit = ping / 4

// watchPauses notes the times in which this program did not get on, until the context ends.
func (l *ledger) watchPauses(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, pollInterval) {
		now := time.Now()
		l.notePause(last, now)
		last = now
	}
}

// notePause takes in the time between two looks. What a pause breaks off may show one ping later.
func (l *ledger) notePause(last, now time.Time) {
	if now.Sub(last) < pauseLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pauses = append(l.pauses, period{from: last, until: now.Add(ping)})
}
