package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// watchWait is the time that one watch of the store waits for a change. When the store fails, the configuration was
	// last confirmed up to two waits ago; keys are accepted for what remains of the revocation time.
	watchWait = 800 * time.Millisecond
	// watchGrace is added to watchWait for the timeout of a watch.
	watchGrace = 600 * time.Millisecond
	// readTimeout bounds a full read of the store, which answers in milliseconds; a slow store takes some hundred.
	readTimeout = 1500 * time.Millisecond
	// rereadFraction is the part of the store's history after which everything is read again,
	// so that a change that a watch missed is found.
	rereadFraction = 0.25
	// minWatchInterval is the least time between two watches while changes follow one another. A changed configuration is
	// still applied soon enough, and the calls of all entries stay within the store's rate limit.
	minWatchInterval = 300 * time.Millisecond
	// retryDelay is the time before a failed read is retried.
	retryDelay = 250 * time.Millisecond
)

// storeState is what an entry has read from the store.
type storeState struct {
	// revision is that of the latest change read; zero requests a full read.
	revision int64
	// lastFullRead is when everything was last read.
	lastFullRead time.Time
	// targets holds the valid targets by ID, and invalid the errors of the records that could not be decoded.
	targets map[string]site.Target
	invalid map[string]string
	// reachable is false after a failed read.
	reachable bool
}

// followStore keeps the configuration and the targets up to date until the context ends.
func (p *Process) followStore(ctx context.Context) {
	s := &storeState{reachable: true, targets: map[string]site.Target{}, invalid: map[string]string{}}
	for ctx.Err() == nil {
		began := p.Now()
		err := p.syncOnce(ctx, s)
		switch {
		case errors.Is(err, site.ErrCompacted):
			p.Log.Info("store is read anew", "reason", err)
			s.revision = 0
			node.Pause(ctx, minWatchInterval-p.Now().Sub(began))
			continue
		case err != nil:
			p.Store.Close()
			p.mu.Lock()
			p.registry.MarkStoreLost()
			p.mu.Unlock()
			if s.reachable {
				p.Log.Warn("store lost", "error", err, "version", p.version())
			}
			s.reachable = false
			node.Pause(ctx, retryDelay)
			continue
		case !s.reachable:
			p.Log.Info("store regained", "version", p.version())
			s.reachable = true
		}
		p.applyTargets(slices.Collect(maps.Values(s.targets)), began)
		node.Pause(ctx, minWatchInterval-p.Now().Sub(began))
	}
}

// syncOnce reads everything if a full read is due, and otherwise waits for a change. If it succeeds, the configuration
// is confirmed as of its start.
func (p *Process) syncOnce(ctx context.Context, s *storeState) error {
	startedAt, ok := p.Boot.Now()
	history := p.settings.Load().History
	if s.revision == 0 || p.Now().Sub(s.lastFullRead) > time.Duration(rereadFraction*float64(history)) {
		if err := p.readAll(ctx, s); err != nil {
			return err
		}
	} else if err := p.watch(ctx, s); err != nil {
		return err
	}
	if ok && p.configuration.Load() != nil {
		p.confirmedAt.Store(int64(startedAt))
	}
	return nil
}

// readAll reads the targets and the configuration. A stale read of the configuration would be cheaper, but this read limits
// how long a removed key is accepted after a watch missed the change.
func (p *Process) readAll(ctx context.Context, s *storeState) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p.metrics.storeCalls.With("call", "targets").Add(1)
	list, listRevision, err := p.Store.Targets(ctx)
	if err != nil {
		return err
	}
	p.metrics.storeCalls.With("call", "configuration").Add(1)
	c, err := p.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	s.lastFullRead = p.Now()
	if s.revision == 0 {
		// The configuration was read after the list, so watching from this revision misses no change of either.
		s.revision = listRevision
	}
	if c != nil {
		p.applyConfiguration(c)
	}
	clear(s.targets)
	p.updateTargets(s, list)
	maps.DeleteFunc(s.invalid, func(id, _ string) bool {
		return !slices.ContainsFunc(list, func(e site.TargetRecord) bool { return e.ID == id })
	})
	return nil
}

// watch waits for changes after the known revision. Without any the revision stays the same,
// because an empty watch does not prove that it saw all changes.
func (p *Process) watch(ctx context.Context, s *storeState) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	p.metrics.storeCalls.With("call", "watch").Add(1)
	c, err := p.Store.Changes(ctx, s.revision, watchWait)
	if err != nil {
		return err
	}
	s.revision = max(s.revision, c.Revision)
	if c.Configuration != nil {
		p.applyConfiguration(c.Configuration)
	}
	p.updateTargets(s, c.Targets)
	return nil
}

// updateTargets applies changed records of targets. An invalid record is logged once.
func (p *Process) updateTargets(s *storeState, list []site.TargetRecord) {
	for _, e := range list {
		delete(s.targets, e.ID)
		if e.Target != nil {
			s.targets[e.ID] = *e.Target
		}
		if e.Fault == nil {
			delete(s.invalid, e.ID)
			continue
		}
		if text := e.Fault.Error(); s.invalid[e.ID] != text {
			s.invalid[e.ID] = text
			p.metrics.invalidRecords.Add(1)
			p.Log.Warn("entry refused", "target", e.ID, "error", text)
		}
	}
}

// applyConfiguration replaces the configuration if the given one is newer.
func (p *Process) applyConfiguration(c *site.Configuration) {
	old := p.configuration.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	p.configuration.Store(c)
	p.Log.Info("configuration in force", "version", c.Version, "before", versionOf(old), "routes", len(c.Routes), "keys", len(c.Workspaces))
}

func versionOf(c *site.Configuration) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

func (p *Process) version() int64 {
	return versionOf(p.configuration.Load())
}

// applyTargets replaces the known targets by a list that is at least as recent as the given time.
func (p *Process) applyTargets(list []site.Target, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	for _, c := range p.registry.Apply(now, list) {
		p.applyChange(now, c)
		p.Log.Info("target "+c.Event, "target", c.ID, "service", c.Service, "address", c.Address, "centre", c.Centre, "own", c.Own)
	}
	p.resolveRuns(now, readAt)
}
