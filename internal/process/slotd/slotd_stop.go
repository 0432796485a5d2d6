package slotd

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
)

// awaitStop stops the core at the signal to stop. It returns when the core has finished or the stop limit is reached.
func (p *Process) awaitStop(stop, work context.Context) error {
	select {
	case <-work.Done():
		return nil
	case <-stop.Done():
	}
	p.Log.Info("stop", "role", "slot")
	p.handle(slot.Event{Stop: &slot.Stop{}})
	timer := time.NewTimer(time.Duration(p.Settings.Stop))
	defer timer.Stop()
	select {
	case <-p.exit:
	case <-timer.C:
		p.logUnfinished()
	}
	return nil
}

// logUnfinished logs the requests that are still open at the stop limit.
func (p *Process) logUnfinished() {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.core.OpenRequests()
	for _, v := range open {
		p.Log.Warn("cut", "request", v.ID, "workspace", v.Workspace, "state", v.State)
	}
	p.Log.Warn("stop limit", "cut", len(open))
}
