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
	// watchWait is how long one watch of the store waits. When the store goes away, the configuration was
	// known to be the newest up to two waits ago, and what is left of a key's time is served on.
	watchWait = 800 * time.Millisecond
	// watchSlack is the time beyond its wait after which a watch counts as lost.
	watchSlack = 600 * time.Millisecond
	// readTimeout bounds a read of the store, which answers in milliseconds; a slow store takes some hundred.
	readTimeout = 1500 * time.Millisecond
	// rereadShare is the part of the store's history after which everything is read anew,
	// so that a change that a watch missed is found.
	rereadShare = 0.25
	// watchPause is the shortest time between two calls while the store tells of one change after the other: a changed
	// configuration is in force soon enough, and the calls of all entries stay within the store's rate.
	watchPause = 300 * time.Millisecond
	// retryPause is the time before a failed read is tried again.
	retryPause = 250 * time.Millisecond
)

// follower is what an entry has read of the store.
type follower struct {
	// revision is that of the newest change; it is zero until everything was read.
	revision int64
	// read is the time of the newest reading of everything.
	read time.Time
	// targets are the usable targets by ID, and faults the entries that name none.
	targets map[string]site.Target
	faults  map[string]string
	// reachable is false after a failure.
	reachable bool
}

// followStore keeps the configuration and the targets up to date.
func (p *Process) followStore(ctx context.Context) {
	f := &follower{reachable: true, targets: map[string]site.Target{}, faults: map[string]string{}}
	for ctx.Err() == nil {
		began := p.Now()
		err := p.step(ctx, f)
		switch {
		case errors.Is(err, site.ErrCompacted):
			p.Log.Info("store is read anew", "reason", err)
			f.revision = 0
			node.Pause(ctx, watchPause-p.Now().Sub(began))
			continue
		case err != nil:
			p.Store.Close()
			p.mu.Lock()
			p.registry.MarkStoreLost()
			p.mu.Unlock()
			if f.reachable {
				p.Log.Warn("store lost", "error", err, "version", p.version())
			}
			f.reachable = false
			node.Pause(ctx, retryPause)
			continue
		case !f.reachable:
			p.Log.Info("store regained", "version", p.version())
			f.reachable = true
		}
		p.applyTargets(slices.Collect(maps.Values(f.targets)))
		node.Pause(ctx, watchPause-p.Now().Sub(began))
	}
}

// step reads everything, or waits for a change.
func (p *Process) step(ctx context.Context, f *follower) error {
	asked, ok := p.Boot.Now()
	history := p.settings.Load().History
	if f.revision == 0 || p.Now().Sub(f.read) > time.Duration(rereadShare*float64(history)) {
		if err := p.readAll(ctx, f); err != nil {
			return err
		}
	} else if err := p.watch(ctx, f); err != nil {
		return err
	}
	if ok && p.configuration.Load() != nil {
		p.current.Store(int64(asked))
	}
	return nil
}

// readAll reads the list of targets and the configuration. An old configuration would be cheaper, but this reading bounds
// how long a key can work after a watch missed its end.
func (p *Process) readAll(ctx context.Context, f *follower) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p.counts.reads.With("call", "targets").Add(1)
	list, listed, err := p.Store.Targets(ctx)
	if err != nil {
		return err
	}
	p.counts.reads.With("call", "configuration").Add(1)
	c, err := p.Store.Configuration(ctx)
	if err != nil {
		return err
	}
	f.read = p.Now()
	if f.revision == 0 {
		// The configuration was read later, so all changes of both come after this revision.
		f.revision = listed
	}
	if c != nil {
		p.accept(c)
	}
	clear(f.targets)
	p.take(f, list)
	maps.DeleteFunc(f.faults, func(id, _ string) bool {
		return !slices.ContainsFunc(list, func(e site.TargetRecord) bool { return e.ID == id })
	})
	return nil
}

// watch waits for changes after a revision. Without one the revision stays,
// since a watch without news does not prove that it heard all changes.
func (p *Process) watch(ctx context.Context, f *follower) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	p.counts.reads.With("call", "watch").Add(1)
	c, err := p.Store.Changes(ctx, f.revision, watchWait)
	if err != nil {
		return err
	}
	f.revision = max(f.revision, c.Revision)
	if c.Configuration != nil {
		p.accept(c.Configuration)
	}
	p.take(f, c.Targets)
	return nil
}

// take takes in entries of targets. One that cannot be used is logged once.
func (p *Process) take(f *follower, list []site.TargetRecord) {
	for _, e := range list {
		delete(f.targets, e.ID)
		if e.Target != nil {
			f.targets[e.ID] = *e.Target
		}
		if e.Fault == nil {
			delete(f.faults, e.ID)
			continue
		}
		if text := e.Fault.Error(); f.faults[e.ID] != text {
			f.faults[e.ID] = text
			p.counts.unreadable.Add(1)
			p.Log.Warn("entry refused", "target", e.ID, "error", text)
		}
	}
}

// accept puts a configuration in force unless a newer one is.
func (p *Process) accept(c *site.Configuration) {
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

func (p *Process) applyTargets(list []site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.registry.Apply(p.Now(), list) {
		p.Log.Info("target "+c.Event, "target", c.ID, "service", c.Service, "address", c.Address, "centre", c.Centre, "own", c.Own)
	}
}
