package site

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// revisionLimit is the longest allowed time until a published revision is in force at all reachable processes.
const revisionLimit = 4 * time.Second

// revisionWatch tracks the revision in force at each process. It is safe for concurrent use.
type revisionWatch struct {
	site *Site

	mu sync.Mutex
	// latest holds the highest revision that was read from each process; guarded by mu.
	latest map[string]int64
	// readings counts the readings; guarded by mu.
	readings int
	// regressions describes the readings below an earlier one; guarded by mu.
	regressions []string
}

// startWatch polls all processes until the context ends.
func (s *Site) startWatch(ctx context.Context, wg *sync.WaitGroup) *revisionWatch {
	w := &revisionWatch{site: s, latest: map[string]int64{}}
	wg.Go(func() {
		for sleep(ctx, pollInterval) {
			w.poll()
		}
	})
	return w
}

// poll reads the status of each process once.
func (w *revisionWatch) poll() {
	for name, p := range w.site.processes {
		v, ok := w.site.readStatus(p)
		if !ok {
			continue
		}
		w.record(name, v.Revision)
	}
}

// record records one reading. A process that has just started reports revision zero, which is no regression.
func (w *revisionWatch) record(name string, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readings++
	if before := w.latest[name]; revision < before && revision != 0 {
		w.regressions = append(w.regressions, fmt.Sprintf("%s went back from revision %d to %d", name, before, revision))
	}
	w.latest[name] = max(w.latest[name], revision)
}

// inForce reports whether the chosen processes have a revision in force.
func (w *revisionWatch) inForce(revision int64, chosen func(*process) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, p := range w.site.processes {
		if chosen(p) && w.latest[name] < revision {
			return false
		}
	}
	return true
}

// result returns the number of readings and the regressions.
func (w *revisionWatch) result() (readings int, regressions []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readings, w.regressions
}
