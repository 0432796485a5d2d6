package sidecar

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/load"
)

// remoteTimeout bounds each call at the engine of another rank. An engine in another data centre answers in some tens of
// milliseconds, and the group may be held meanwhile.
const remoteTimeout = 250 * time.Millisecond

// reachableEngine returns the address at which other slots reach the engine: that of the settings or, if it is one of the own
// machine only, that of the slot with the engine's port.
func reachableEngine(s *site.Settings) netip.AddrPort {
	a := s.Engine
	if a.Addr().IsLoopback() && s.Peers.Addr().IsValid() || a.Addr().IsUnspecified() {
		return netip.AddrPortFrom(s.Peers.Addr(), a.Port())
	}
	return a
}

// startRemoteCalls starts the calls at engines of other ranks that the core requires, each in its own goroutine.
func (p *Process) startRemoteCalls(ctx context.Context) {
	if p.EngineAt == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.core.Busy() {
		clear(p.remoteEngines)
		clear(p.remoteErrors)
	}
	for {
		call := p.core.NextRemoteCall(p.Now())
		p.logChanges()
		if call == nil {
			return
		}
		engine, ok := p.remoteEngines[call.Engine]
		if !ok {
			engine = p.EngineAt(call.Engine)
			p.remoteEngines[call.Engine] = engine
		}
		p.remoteCalls.Go(func() { p.runRemoteCall(ctx, call, engine) })
	}
}

// runRemoteCall sends the order of a call, if any, reads the engine's report and passes both to the core.
func (p *Process) runRemoteCall(ctx context.Context, call *hold.RemoteCall, engine Engine) {
	refused, err := p.sendRemoteOrder(ctx, call, engine)
	answer := hold.AnswerNone
	if call.Order != nil {
		p.countRemote(string(call.Order.Kind), refused, err)
		answer = orderAnswer(refused, err)
	}
	if call.Order != nil && p.isNewError(call.Engine, err) {
		p.Log.Info("remote order", "rank", call.Rank, "engine", call.Engine, "kind", call.Order.Kind, "version", call.Order.Version,
			"step", call.Order.Step, "epoch", call.Order.Epoch, "refused", refused, "error", err)
	}
	report, err := readRemote(ctx, engine)
	p.countRemote("report", false, err)
	if err != nil && p.isNewError(call.Engine, err) {
		p.Log.Warn("remote engine not read", "rank", call.Rank, "engine", call.Engine, "error", err)
	}
	p.mu.Lock()
	p.core.RemoteCallDone(p.Now(), call, answer, report, err == nil)
	p.logChanges()
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// orderAnswer returns the answer to an order that has ended.
func orderAnswer(refused bool, err error) hold.Answer {
	switch {
	case err != nil:
		return hold.AnswerNone
	case refused:
		return hold.AnswerRefused
	}
	return hold.AnswerAccepted
}

// isNewError reports whether an outcome differs from the latest one at an engine; an engine that is not reachable would fill
// the log.
func (p *Process) isNewError(engine netip.AddrPort, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		delete(p.remoteErrors, engine)
		return true
	}
	isNew := p.remoteErrors[engine] != err.Error()
	p.remoteErrors[engine] = err.Error()
	return isNew
}

// sendRemoteOrder sends the order of a call, if any. A prepare order gets a map that changes nothing at the rank.
func (p *Process) sendRemoteOrder(ctx context.Context, call *hold.RemoteCall, engine Engine) (refused bool, err error) {
	if call.Order == nil {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	o := *call.Order
	if o.Kind == hold.OrderPrepare {
		if o.Map, err = p.remoteNoOpMap(ctx, call.Rank, engine); err != nil {
			return false, err
		}
	}
	return engine.Order(ctx, &o)
}

// remoteNoOpMap returns a map that changes nothing at another rank.
func (p *Process) remoteNoOpMap(ctx context.Context, rank int, engine Engine) ([][][]int, error) {
	experts, err := engine.Experts(ctx)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expertConfig == nil {
		return nil, merry.New("the configuration is not known")
	}
	own := p.core.State()
	if experts.MapVersion != own.MapVersion {
		// The list is from before the latest switch: the engine would load experts, and until then the map would not be prepared.
		return nil, merry.Errorf("rank %d lists the experts of map %d, not of %d", rank, experts.MapVersion, own.MapVersion)
	}
	sets := load.NoOpMap(*p.expertConfig, rank, own.Size, experts.Experts)
	if sets == nil {
		return nil, merry.Errorf("no map without changes at rank %d", rank)
	}
	return sets, nil
}

func readRemote(ctx context.Context, engine Engine) (hold.Engine, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	return engine.Report(ctx)
}

func (p *Process) countRemote(kind string, refused bool, err error) {
	p.metrics.remote.With("kind", kind, "outcome", orderOutcome(refused, err)).Add(1)
}
