package gateway

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// evacuationReread is the part of the time for an evacuation after which everything is read anew, so that one that a watch missed is
	// found. The rest is for the read itself and for passing it on.
	evacuationReread = 0.6
	// minRereadInterval is the least time between two full reads because the store seems to have older contents.
	minRereadInterval = time.Second
	// maxEvacuationAge is the part of the time for an evacuation from which what is known of them is too old for a request after a pause.
	maxEvacuationAge = 0.5
	// evacuationCatchUp bounds the time that such a request waits for the store to be read. An entry begins that within a tenth of a second
	// of a pause, and three calls of a slow store take half a second; if it does not answer, the last known evacuations hold.
	evacuationCatchUp = time.Second
	// catchUpInterval is the time between two checks of that.
	catchUpInterval = 10 * time.Millisecond
	// evacuatedRetryAfter is the Retry-After while all data centres of a service are evacuated. Evacuations last for minutes, so a
	// shorter time would only add load.
	evacuatedRetryAfter = time.Second
	// maxRelayedCentres is the largest number of evacuated data centres that a relay passes on, so that they fit into a datagram.
	maxRelayedCentres = 32
)

// evacuates reports whether data centres may be evacuated.
func (p *Process) evacuates() bool {
	return p.settings.Load().Evacuation > 0
}

// rereadInterval returns the time after which everything is read anew.
func (p *Process) rereadInterval() time.Duration {
	s := p.settings.Load()
	interval := time.Duration(rereadFraction * float64(s.History))
	if s.Evacuation > 0 {
		interval = min(interval, time.Duration(evacuationReread*float64(s.Evacuation)))
	}
	return interval
}

// listEvacuations reads the evacuated data centres if the settings ask for it.
func (p *Process) listEvacuations(ctx context.Context) ([]site.Evacuation, error) {
	if !p.evacuates() {
		return nil, nil
	}
	p.metrics.storeCalls.With("call", "evacuations").Add(1)
	return p.Store.Evacuations(ctx)
}

// replaceEvacuations replaces the evacuated data centres by a complete list.
func (p *Process) replaceEvacuations(s *storeState, list []site.Evacuation) {
	s.listsCentres = p.evacuates()
	clear(s.evacuated)
	p.updateEvacuations(s, list)
}

// updateEvacuations applies changed keys of evacuated data centres. A key that names none is logged once.
func (p *Process) updateEvacuations(s *storeState, list []site.Evacuation) {
	if !s.listsCentres {
		return
	}
	for _, e := range list {
		switch {
		case e.Fault != nil:
			p.rejectRecord(s, "evacuation "+e.Centre, e.Fault)
		case e.Ended:
			delete(s.evacuated, e.Centre)
		default:
			s.evacuated[e.Centre] = true
		}
	}
}

// centres returns the names of the evacuated data centres in order.
func (s *storeState) centres() []string {
	return slices.Sorted(maps.Keys(s.evacuated))
}

// setCentres replaces the evacuated data centres by those that held at the time of the known targets; mu is held.
func (p *Process) setCentres(now time.Time, centres []string) {
	if !p.evacuates() {
		centres = nil
	}
	for _, c := range p.registry.SetEvacuated(centres) {
		if c.Ended {
			p.returnCentre(now, c)
			continue
		}
		p.metrics.evacuations.With("event", "evacuated").Add(1)
		p.Log.Info("centre evacuated", "centre", c.Centre, "targets", c.Targets, "known", c.Targets > 0)
	}
}

// returnCentre makes the targets of a data centre available again after its evacuation. They may have been started meanwhile, so they
// count as cold; mu is held.
func (p *Process) returnCentre(now time.Time, c target.CentreChange) {
	p.registry.MarkCold(now, c.Centre)
	p.metrics.evacuations.With("event", "returned").Add(1)
	p.Log.Info("centre returned", "centre", c.Centre, "targets", c.Targets)
}

// rejectEvacuated returns the rejection of a request if all data centres with targets of its service are evacuated; mu is held.
func (v *request) rejectEvacuated(service string) rejection {
	p := v.process
	centres := p.registry.AllEvacuated(service)
	if len(centres) == 0 {
		return rejection{}
	}
	p.metrics.evacuations.With("event", "refused").Add(1)
	p.Log.Info("service evacuated", "id", v.ID, "service", service, "centres", strings.Join(centres, ","))
	return rejection{http.StatusServiceUnavailable, "all data centres with targets of " + service + " are evacuated", evacuatedRetryAfter}
}

// refuseEvacuated refuses a request that got no seat if the reason is an evacuation, and reports whether it did.
func (v *request) refuseEvacuated() bool {
	p := v.process
	p.mu.Lock()
	r := v.rejectEvacuated(v.service.Name)
	p.mu.Unlock()
	if r.status == 0 {
		return false
	}
	v.refuse(r.status, r.reason, r.retryAfter)
	return true
}

// relayedCentres returns the evacuated data centres to pass on, those with targets first if there are too many.
func relayedCentres(centres []string, targets map[string]site.Target) []string {
	if len(centres) <= maxRelayedCentres {
		return centres
	}
	used := map[string]bool{}
	for _, t := range targets {
		used[t.Centre] = true
	}
	centres = slices.Clone(centres)
	slices.SortStableFunc(centres, func(a, b string) int {
		switch {
		case used[a] == used[b]:
			return 0
		case used[a]:
			return -1
		}
		return 1
	})
	return centres[:maxRelayedCentres]
}

// awaitEvacuations waits after a start or a pause until the evacuated data centres are known as of a recent time.
func (p *Process) awaitEvacuations(ctx context.Context) {
	if !p.evacuates() {
		return
	}
	now, ok := p.Boot.Now()
	for end := now + evacuationCatchUp; ok && now < end && ctx.Err() == nil && p.missesEvacuations(now); now, ok = p.Boot.Now() {
		node.Pause(ctx, catchUpInterval)
	}
}

// missesEvacuations reports whether the process has started or was paused just before, and what it knows is too old.
func (p *Process) missesEvacuations(now time.Duration) bool {
	paused := now-time.Duration(p.awakeAt.Load()) >= pauseThreshold
	if !paused && now-time.Duration(p.resumedAt.Load()) > evacuationCatchUp+catchUpTime {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now-p.targetsAt > time.Duration(maxEvacuationAge*float64(p.settings.Load().Evacuation))
}

// readsAfterPause reports whether the process was paused since the previous call, after which a failed read is repeated at once: the
// connections of the time before are lost.
func (p *Process) readsAfterPause(s *storeState) bool {
	resumedAt := time.Duration(p.resumedAt.Load())
	if !p.evacuates() || s.resumedAt == resumedAt {
		return false
	}
	s.resumedAt = resumedAt
	return true
}
