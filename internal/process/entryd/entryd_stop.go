package entryd

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

// closeFraction is the last part of the stop limit, in which the answers to the requests still in progress are written.
const closeFraction = 0.1

// awaitStop stops the core at the signal to stop. It returns when all answers were written or the stop limit is reached.
func (p *Process) awaitStop(stop, work context.Context) error {
	select {
	case <-work.Done():
		return nil
	case <-stop.Done():
	}
	p.Log.Info("stop", "role", "entry")
	stopTime := time.Duration(p.Settings.Stop)
	limit, cancel := context.WithTimeout(work, stopTime)
	defer cancel()
	p.handle(entry.Event{Stop: &entry.Stop{}})
	end := time.NewTimer(stopTime - time.Duration(closeFraction*float64(stopTime)))
	defer end.Stop()
	select {
	case <-p.exit:
	case <-end.C:
		p.logUnfinished()
		p.handle(entry.Event{End: &entry.End{}})
	case <-limit.Done():
	}
	p.waitForReplies(limit)
	return nil
}

// waitForReplies waits until all answers were written to their callers.
func (p *Process) waitForReplies(limit context.Context) {
	for p.pendingReplies() > 0 && limit.Err() == nil {
		node.Pause(limit, tickInterval)
	}
}

func (p *Process) pendingReplies() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.replies)
}

// logUnfinished logs the requests that are still open at the stop limit.
func (p *Process) logUnfinished() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.core.OpenRequests() {
		p.Log.Warn("cut", "request", v.ID, "workspace", v.Workspace, "target", v.Target, "key", v.Key)
	}
	if len(p.replies) > 0 {
		p.Log.Warn("stop limit", "cut", len(p.replies))
	}
}

// closeWhenStopping closes the callers' connections after a response while the entry stops, so that they connect elsewhere.
func (p *Process) closeWhenStopping(next http.Handler) http.Handler {
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
