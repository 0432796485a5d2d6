package site

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// revisionLimit is the longest time until an accepted configuration is in force everywhere in reach.
const revisionLimit = 4 * time.Second

// watch follows the revision in force at each process. It is safe for concurrent use.
type watch struct {
	site *Site

	mu sync.Mutex
	// seen holds the newest revision by process; guarded by mu.
	seen map[string]int64
	// looks counts the readings; guarded by mu.
	looks int
	// falls holds what fell; guarded by mu.
	falls []string
}

// startWatch looks at all processes until the context ends.
func (s *Site) startWatch(ctx context.Context, group *sync.WaitGroup) *watch {
	w := &watch{site: s, seen: map[string]int64{}}
	group.Go(func() {
		for sleep(ctx, pollInterval) {
			w.look()
		}
	})
	return w
}

// look reads each process once.
func (w *watch) look() {
	for name, p := range w.site.processes {
		v, ok := w.site.status(p)
		if !ok {
			continue
		}
		w.note(name, v.Revision)
	}
}

// note takes in one reading. Zero is a process that has just started.
func (w *watch) note(name string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if before := w.seen[name]; revision < before && revision != 0 {
		w.falls = append(w.falls, fmt.Sprintf("%s fell from revision %d to %d", name, before, revision))
	}
	w.seen[name] = max(w.seen[name], revision)
}

// reached reports whether the chosen processes have a revision in force.
func (w *watch) reached(revision int64, chosen func(*process) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.site.processes {
		if chosen(p) && w.seen[name] < revision {
			return false
		}
	}
	return true
}

// result returns the number of readings and what fell.
func (w *watch) result() (looks int, falls []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.looks, w.falls
}
