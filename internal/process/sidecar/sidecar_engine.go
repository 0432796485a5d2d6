package sidecar

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
)

// followEngine reads the engine, carries out what the core wants and tells the other slots.
func (p *Process) followEngine(ctx context.Context) {
	reachable := true
	var counted time.Time
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
			p.orderAll(ctx, p.tell)
		}
		if now := p.Now(); reachable && now.Sub(counted) >= countInterval {
			counted = now
			p.count(ctx)
			p.plan(now)
		}
		p.tell()
		p.wait(ctx)
	}
}

// wait waits until the engine is read again, or another slot brings news.
func (p *Process) wait(ctx context.Context) {
	p.mu.Lock()
	interval := restInterval
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
	e, err := p.Engine.Report(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.UpdateEngine(p.Now(), e)
	p.logNotes()
	return nil
}

// orderAll carries out the orders that the core wants, and tells of the state after each.
func (p *Process) orderAll(ctx context.Context, tell func()) {
	for ctx.Err() == nil {
		p.mu.Lock()
		o := p.core.NextOrder(p.Now())
		p.logNotes()
		p.mu.Unlock()
		if o == nil {
			return
		}
		refused, err := p.orderOnce(ctx, o)
		p.mu.Lock()
		p.core.OrderDone(p.Now(), refused, err != nil)
		p.logNotes()
		p.mu.Unlock()
		p.Log.Info("order", "kind", o.Kind, "version", o.Version, "step", o.Step, "epoch", o.Epoch, "refused", refused, "error", err)
		if err := p.readEngine(ctx); err != nil {
			p.Log.Warn("engine not read after an order", "error", err)
			return
		}
		tell()
		if refused || err != nil {
			return
		}
	}
}

func (p *Process) orderOnce(ctx context.Context, o *hold.Order) (refused bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := p.Now()
	refused, err = p.Engine.Order(ctx, o)
	p.counts.order.Observe(p.Now().Sub(began).Seconds())
	outcome := "accepted"
	switch {
	case err != nil:
		outcome = "unknown"
	case refused:
		outcome = "refused"
	}
	p.counts.orders.With("kind", string(o.Kind), "outcome", outcome).Add(1)
	return refused, err
}

// count reads which experts were chosen, and which the rank holds if that has changed.
func (p *Process) count(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	c, err := p.Engine.Counts(ctx)
	if err != nil {
		p.Log.Warn("counts not read", "error", err)
		return
	}
	p.mu.Lock()
	p.tally.Add(c)
	state := p.core.State(p.Now())
	known := p.held.Experts != nil && p.held.MapVersion == state.MapVersion && p.heldEpoch == state.Epoch
	p.mu.Unlock()
	if known {
		return
	}
	h, err := p.Engine.Experts(ctx)
	if err != nil {
		p.Log.Warn("experts not read", "error", err)
		return
	}
	p.mu.Lock()
	p.held, p.heldEpoch = h, state.Epoch
	p.keep()
	p.mu.Unlock()
}

// keep gives the core a map that changes nothing at this rank, once the rank's experts and the configuration are known; mu is held.
func (p *Process) keep() {
	if p.experts == nil || p.held.Experts == nil {
		return
	}
	s := p.core.State(p.Now())
	p.core.SetNoOpMap(load.NoOpMap(*p.experts, s.Rank, s.Size, p.held.Experts))
}

// logNotes writes the changes of the switch; mu is held.
func (p *Process) logNotes() {
	for _, n := range p.core.TakeChanges() {
		p.counts.switches.With("event", n.Event).Add(1)
		p.Log.Info("switch", "event", n.Event, "reason", n.Reason, "attempt", n.Number, "version", n.Version, "step", n.Step, "phase", int(n.Phase), "epoch", n.Epoch)
	}
}
