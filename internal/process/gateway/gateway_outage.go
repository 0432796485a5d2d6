package gateway

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// outageReason is the reason for the refusal of a request while all groups of its service are down.
	outageReason = "all groups of the service are down"
	// outageCheck is the longest time between two checks of the groups while a request waits for them: a state lapses without news.
	outageCheck = 200 * time.Millisecond
	// outageSpread is the time over which the callers are told to return.
	outageSpread = 300 * time.Millisecond
	// unknownOutage is the time after a refusal for which targets whose group is not known yet count as down. An entry learns the groups
	// some tenths of a second after its start.
	unknownOutage = 500 * time.Millisecond
)

// learnStates records what a slot or a relay has told of the groups. What is new to a relay is passed on at once; mu is held.
func (p *Process) learnStates(now time.Time, list []*message.GroupState) {
	changed := false
	for _, w := range list {
		v := w.Decode(now)
		if !p.states.Learn(now, v) {
			continue
		}
		changed = true
		event := "up"
		if v.Down {
			event = "down"
		}
		p.metrics.outages.With("event", event).Add(1)
		p.Log.Info("group "+event, "group", v.Group, "epoch", v.Epoch, "age", now.Sub(v.ReadAt))
	}
	if !changed {
		return
	}
	p.applyStates(now)
	if p.mesh.IsRelay() {
		p.relay(now)
	}
}

// applyStates tells waiting requests that the states of groups have changed; mu is held.
func (p *Process) applyStates(now time.Time) {
	p.updateUnusable(now)
	clear(p.outages)
	close(p.statesChanged)
	p.statesChanged = make(chan struct{})
}

// noteGroupRefusal records that the target of the latest attempt has refused the request for its group or could not be reached, and
// reports whether no group of the service can be used.
func (v *request) noteGroupRefusal(m *target.Member) (all bool) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	if v.faultyGroup && m.Group == 0 {
		p.refusals[v.service.Name] = now
	}
	delete(p.outages, v.service.Name)
	if v.faultyGroup && p.states.NoteRefusal(now, m.Group) {
		p.Log.Info("group down", "group", m.Group, "id", v.ID, "target", m.ID)
		p.metrics.outages.With("event", "down").Add(1)
		p.applyStates(now)
	}
	_, all = p.outage(now, v.service)
	return all
}

// outage reports whether the groups of a service are all down or in data centres that can't be reached, and since when; mu is held.
func (p *Process) outage(now time.Time, s *site.Service) (since time.Time, down bool) {
	if !s.Grouped() {
		return since, false
	}
	known := p.outages[s.Name]
	if now.Sub(known.checkedAt) >= tickInterval {
		known.checkedAt = now
		known.since, known.down = p.checkOutage(now, s)
		p.outages[s.Name] = known
	}
	return known.since, known.down
}

// knownOutage is whether the groups of a service were all down, and since when. While many requests wait, each would otherwise check all
// targets.
type knownOutage struct {
	checkedAt, since time.Time
	down             bool
}

// checkOutage is outage without the time for which its result counts; mu is held.
func (p *Process) checkOutage(now time.Time, s *site.Service) (since time.Time, down bool) {
	for _, m := range p.registry.Service(s.Name) {
		if m.Leaving {
			continue
		}
		at, ok := p.memberDown(now, m)
		if !ok {
			return time.Time{}, false
		}
		if !down || at.After(since) {
			since = at
		}
		down = true
	}
	return since, down
}

// memberDown reports whether a target is of a group that is down or in a data centre that can't be reached, and since when. While its
// group is not known, it counts as down for a time after any target of the service has refused for its group; mu is held.
func (p *Process) memberDown(now time.Time, m *target.Member) (since time.Time, down bool) {
	if since, down = p.states.Down(now, m.Group); down {
		return since, true
	}
	if since, down = p.registry.Unreachable(now, m); down {
		return since, true
	}
	at := p.refusals[m.Service]
	return at, m.Group == 0 && !at.IsZero() && now.Sub(at) < unknownOutage
}

// awaitGroups waits while all groups of the service are down, and reports whether the request may go on. If not, it has been refused.
func (v *request) awaitGroups() bool {
	p := v.process
	var timer *time.Timer
	for waited := false; ; waited = true {
		p.mu.Lock()
		now := p.Now()
		since, down := p.outage(now, v.service)
		changed := p.statesChanged
		_, held := p.queue(v.service.Name).Usual()
		spread := p.Random.Float64()
		p.mu.Unlock()
		if !down {
			if waited {
				v.spreadAfterOutage(spread)
			}
			return true
		}
		plan := group.PlanOutage(now, since, v.ends(), held, v.elapsed() > 0)
		if !waited && plan.Wait {
			end, ok := v.countWaiting()
			defer end()
			if !ok {
				plan = group.Plan{Return: group.OutageReturn(now, v.ends())}
			}
		}
		if waited && v.planned.Wait && now.Before(v.planned.Until) && !v.planned.Until.After(v.ends()) {
			plan = v.planned
		}
		v.planned = plan
		if !plan.Wait {
			v.refuseForOutage(now.Sub(since), plan.Return+time.Duration(spread*float64(outageSpread)))
			return false
		}
		wait := min(outageCheck, max(plan.Until.Sub(now), time.Millisecond))
		if timer == nil {
			timer = time.NewTimer(wait)
			defer timer.Stop()
		} else {
			timer.Reset(wait)
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-v.caller.Context().Done():
			v.abandon("abandoned", "caller left while all groups were down")
		}
	}
}

// refuseForOutage refuses a request whose groups have been down for a time.
func (v *request) refuseForOutage(down, retryAfter time.Duration) {
	p := v.process
	p.metrics.outages.With("event", "refused").Add(1)
	p.Log.Info("no group", "id", v.ID, "service", v.service.Name, "down", down, "waited", p.Now().Sub(v.began), "remaining", v.remaining(), "retry", retryAfter)
	v.refuse(http.StatusServiceUnavailable, outageReason, retryAfter)
}

// outageRetryAfter returns the Retry-After of a request that a group has refused or whose targets could not be reached, or zero if it was
// not refused for an outage.
func (v *request) outageRetryAfter() time.Duration {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	_, down := p.outage(now, v.service)
	out := down || v.groupRefused || v.unreached && v.service.Grouped()
	if !out {
		return 0
	}
	return group.OutageReturn(now, v.deadline) + time.Duration(p.Random.Float64()*float64(outageSpread))
}

// countWaiting counts the request as one that waits for the groups of its service, unless as many do as can be kept. It returns the function that ends
// the count, and whether the request may wait.
func (v *request) countWaiting() (end func(), ok bool) {
	p, name := v.process, v.service.Name
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	_, held := p.queue(name).Usual()
	_, seats := p.occupancy(v.service, v.route.Gap)
	rate := 0.0
	if a := p.firstTries[name]; a != nil {
		rate = a.Rate(now)
	}
	if p.awaiting[name] >= group.Kept(float64(seats)/float64(max(p.entries, 1)), rate, held) {
		return func() {}, false
	}
	p.awaiting[name]++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.awaiting[name]--
	}, true
}

// spreadAfterOutage delays a request that has waited for a group, by its random part of the time over which those that wait go on.
func (v *request) spreadAfterOutage(random float64) {
	p, name := v.process, v.service.Name
	p.mu.Lock()
	_, held := p.queue(name).Usual()
	_, seats := p.occupancy(v.service, v.route.Gap)
	spread := group.ResumeSpread(p.awaiting[name], float64(seats)/float64(max(p.entries, 1)), held)
	p.mu.Unlock()
	node.Pause(v.caller.Context(), time.Duration(random*float64(spread)))
	v.waitedFor = p.Now().Sub(v.began)
	p.Log.Info("group awaited", "id", v.ID, "service", name, "waited", v.waitedFor, "spread", spread, "remaining", v.remaining())
}

// encodeStates returns the wire form of the known states of groups; mu is held.
func (p *Process) encodeStates(now time.Time) (out []*message.GroupState) {
	for _, s := range p.states.List(now) {
		out = append(out, message.EncodeState(now, s))
	}
	return out
}
