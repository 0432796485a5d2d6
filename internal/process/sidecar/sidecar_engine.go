package sidecar

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
)

// followEngine reads the engine, gives it the orders of the core and sends the own state to the other slots, until the
// context ends.
func (p *Process) followEngine(ctx context.Context) {
	reachable := true
	var lastCount time.Time
	for ctx.Err() == nil {
		err := p.readEngine(ctx)
		if err != nil && reachable {
			p.Log.Warn("engine lost", "error", err)
		}
		if err == nil && !reachable {
			p.Log.Info("engine regained")
		}
		reachable = err == nil
		if reachable {
			p.runOrders(ctx, p.sendState)
			p.startRemoteCalls(ctx)
		}
		if now := p.Now(); reachable && now.Sub(lastCount) >= countInterval {
			lastCount = now
			p.identify(ctx)
			p.readCounts(ctx)
			p.planSwitch(now)
		}
		p.sendState()
		p.wait(ctx)
	}
}

// wait waits until the engine is to be read again, or until a datagram of another slot requires an action.
func (p *Process) wait(ctx context.Context) {
	p.mu.Lock()
	interval := idleInterval
	if p.core.Busy() {
		interval = busyInterval
	}
	p.mu.Unlock()
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-p.wake:
	}
}

func (p *Process) readEngine(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	readAt := p.Now()
	e, err := p.Engine.Report(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e.Pace = p.paceFilter.Add(p.Now(), &e)
	p.core.UpdateEngine(p.Now(), readAt, e)
	p.updateCurrentMap(e)
	p.identity.engine, p.identity.engineReadAt = e, readAt
	p.recordPace(p.Now(), p.core.State())
	p.logChanges()
	return nil
}

// runOrders gives the engine the orders of the core, one after the other, and calls afterOrder after each.
func (p *Process) runOrders(ctx context.Context, afterOrder func()) {
	for ctx.Err() == nil {
		p.mu.Lock()
		o := p.core.NextOrder(p.Now())
		p.logChanges()
		p.mu.Unlock()
		if o == nil {
			return
		}
		refused, err := p.runOrder(ctx, o)
		p.mu.Lock()
		p.core.OrderDone(p.Now(), refused, err != nil)
		p.logChanges()
		p.mu.Unlock()
		p.Log.Info("order", "kind", o.Kind, "version", o.Version, "step", o.Step, "epoch", o.Epoch, "refused", refused, "error", err)
		if err := p.readEngine(ctx); err != nil {
			p.Log.Warn("engine not read after an order", "error", err)
			return
		}
		afterOrder()
		if refused || err != nil {
			return
		}
	}
}

func (p *Process) runOrder(ctx context.Context, o *hold.Order) (refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := p.Now()
	refused, err = p.Engine.Order(ctx, o)
	p.metrics.orderTime.Observe(p.Now().Sub(began).Seconds())
	p.metrics.orders.With("kind", string(o.Kind), "outcome", orderOutcome(refused, err)).Add(1)
	return refused, err
}

// orderOutcome returns the outcome of an order for the metrics.
func orderOutcome(refused bool, err error) string {
	switch {
	case err != nil:
		return "unknown"
	case refused:
		return "refused"
	}
	return "accepted"
}

// readCounts reads how often each expert was chosen, and which experts the rank holds if that has changed.
func (p *Process) readCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	c, err := p.Engine.Counts(ctx)
	if err != nil {
		p.Log.Warn("counts not read", "error", err)
		return
	}
	p.mu.Lock()
	p.tally.Add(c)
	state := p.core.State()
	known := p.rankExperts.Experts != nil && p.rankExperts.MapVersion == state.MapVersion && p.rankExpertsEpoch == state.Epoch
	p.mu.Unlock()
	if known {
		return
	}
	experts, err := p.Engine.Experts(ctx)
	if err != nil {
		p.Log.Warn("experts not read", "error", err)
		return
	}
	p.mu.Lock()
	p.rankExperts, p.rankExpertsEpoch = experts, state.Epoch
	p.setNoOpMap()
	p.mu.Unlock()
}

// setNoOpMap gives the core an expert map that changes nothing at this rank, once the rank's experts and the
// configuration are known; mu is held.
func (p *Process) setNoOpMap() {
	if p.expertConfig == nil || p.rankExperts.Experts == nil {
		return
	}
	s := p.core.State()
	p.core.SetNoOpMap(load.NoOpMap(*p.expertConfig, s.Rank, s.Size, p.rankExperts.Experts))
}

// logChanges logs and counts the events of a switch since the last call; mu is held.
func (p *Process) logChanges() {
	for _, c := range p.core.TakeChanges() {
		p.metrics.switches.With("event", c.Event).Add(1)
		p.Log.Info("switch", "event", c.Event, "reason", c.Reason, "attempt", c.Number, "version", c.Version, "step", c.Step, "phase", int(c.Phase), "epoch", c.Epoch)
	}
}
