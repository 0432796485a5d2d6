package slotd

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
)

// closeFraction is the last part of the stop limit, in which no queued request may still run: its answer would not be sent.
const closeFraction = 0.1

// awaitStop stops the core at the signal to stop. It returns when the core has finished or the stop limit is reached.
func (p *Process) awaitStop(stop, work context.Context) error {
	select {
	case <-work.Done():
		return nil
	case <-stop.Done():
	}
	p.Log.Info("stop", "role", "slot")
	stopTime := time.Duration(p.Settings.Stop)
	p.handle(slot.Event{Stop: &slot.Stop{Until: p.Now().Add(stopTime - time.Duration(closeFraction*float64(stopTime)))}})
	timer := time.NewTimer(stopTime)
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
