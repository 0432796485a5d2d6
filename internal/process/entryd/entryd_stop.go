package entryd

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

// await stops the core when asked to and returns when all answers were written or the stop limit is over.
func (p *Process) await(stop, work context.Context) error {
	select {
	case <-work.Done():
		return nil
	case <-stop.Done():
	}
	p.Log.Info("stop", "role", "entry")
	limit, cancel := context.WithTimeout(work, time.Duration(p.Settings.Stop))
	defer cancel()
	p.handle(entry.Event{Stop: &entry.Stop{}})
	select {
	case <-p.exit:
	case <-limit.Done():
	}
	p.written(limit)
	p.cut()
	return nil
}

// written waits until the ends of all answers were written to their callers.
func (p *Process) written(limit context.Context) {
	for p.pending() > 0 && limit.Err() == nil {
		node.Pause(limit, tickInterval)
	}
}

func (p *Process) pending() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.replies)
}

// cut logs what the stop limit cuts off.
func (p *Process) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.core.OpenRequests() {
		p.Log.Warn("cut", "request", v.ID, "workspace", v.Workspace, "target", v.Target, "key", v.Key)
	}
	if len(p.replies) > 0 {
		p.Log.Warn("stop limit", "cut", len(p.replies))
	}
}

// turnAway asks callers of a stopping entry to open their next connection elsewhere.
func (p *Process) turnAway(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Stopping()
}
