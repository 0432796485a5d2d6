package sidecar

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// identifyInterval is the time after a failed read of the target's ID before the next: each read has a cost.
const identifyInterval = 2 * time.Second

// identity is what a slot tells entries of its engine.
type identity struct {
	// healthPath is that of the service, or empty while it is not known.
	healthPath string
	// engine is the latest report, which was read at engineReadAt.
	engine       hold.Engine
	engineReadAt time.Time
	// id is the ID of the target that started at startUnixMilli, or empty while it is not known.
	id             string
	startUnixMilli int64
	readAt         time.Time
	// addressed is set once the address under which the target is listed was read.
	addressed bool
	// told is what was last reported.
	told group.Member
	// toldState is the state of the group that was last reported, without its time.
	toldState group.State
}

// identify reads the ID of the target once for each incarnation.
func (p *Process) identify(ctx context.Context) {
	p.mu.Lock()
	v, now := &p.identity, p.Now()
	start, path := v.engine.StartUnixMilli, v.healthPath
	known := v.id != "" && v.startUnixMilli == start
	if known && !v.addressed && now.Sub(v.readAt) >= identifyInterval && !p.core.Busy() {
		v.readAt = now
		p.mu.Unlock()
		p.readAddress(ctx, v.id)
		return
	}
	// A switch that waits for this slot may hold the group.
	due := !known && path != "" && p.Engine.ID != nil && v.engine.Group != "" && now.Sub(v.readAt) >= identifyInterval && !p.core.Busy()
	if due {
		v.readAt = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	id, err := p.Engine.ID(ctx, path)
	if err != nil {
		p.Log.Warn("target not identified", "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v.id, v.startUnixMilli, v.addressed = id, start, p.TargetAddress == nil
	p.Log.Info("target identified", "target", id, "group", v.engine.Group, "rank", v.engine.Rank)
}

// readAddress reads the address under which the target is listed. That of the settings may be one of this machine only, which
// other slots can't reach.
func (p *Process) readAddress(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	a, err := p.TargetAddress(ctx, id)
	if err != nil {
		p.Log.Warn("target address not read", "target", id, "error", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.identity.addressed = true
	p.core.SetEngineAddress(a)
}

// member returns what to report now, which names no target while it is not known.
func (v *identity) member() group.Member {
	e := &v.engine
	if v.id == "" || v.startUnixMilli != e.StartUnixMilli || e.Group == "" {
		return group.Member{}
	}
	t := site.Target{ID: v.id, StartUnixMilli: e.StartUnixMilli}
	m := group.Member{Target: target.Hash(&t), Group: group.Hash(e.Group), Pace: group.ClampPace(e.Pace)}
	if m.Target == v.told.Target && m.Group == v.told.Group && group.SamePace(v.told.Pace, m.Pace) {
		m.Pace = v.told.Pace
	}
	return m
}

// changed reports whether something is to be reported at once.
func (v *identity) changed() bool {
	return v.member() != v.told || v.state(time.Time{}) != v.toldState
}

// state returns the state of the engine's group as of a time.
func (v *identity) state(at time.Time) group.State {
	e := &v.engine
	if e.Group == "" {
		return group.State{}
	}
	return group.State{Group: group.Hash(e.Group), Epoch: e.Epoch, Down: !e.Open, ReadAt: at}
}

// reportState returns the wire form of the state of the group to report now, or nil if it is not known.
func (v *identity) reportState(now time.Time) *message.GroupState {
	v.toldState = v.state(time.Time{})
	if v.toldState.Group == 0 {
		return nil
	}
	return message.EncodeState(now, v.state(v.engineReadAt))
}

// report returns the wire form of what to report now, or nil if the target is not known.
func (v *identity) report() *message.GroupMember {
	v.told = v.member()
	if v.told.Target == 0 {
		return nil
	}
	return message.EncodeMember(v.told)
}
