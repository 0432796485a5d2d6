package slotd

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
)

// await stops the core when asked to and returns when it has finished or the stop limit is over.
func (p *Process) await(stop, work context.Context) error {
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
		p.cut()
	}
	return nil
}

// cut logs what the stop limit cuts off.
func (p *Process) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := p.core.OpenRequests()
	for _, v := range open {
		p.Log.Warn("cut", "request", v.ID, "workspace", v.Workspace, "state", v.State)
	}
	p.Log.Warn("stop limit", "cut", len(open))
}
