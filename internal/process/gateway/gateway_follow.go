package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// watchWait is how long one watch of the configuration waits. When the store goes away, the configuration was
	// known to be the newest up to two waits ago, and what is left of a key's time is served on.
	watchWait = 800 * time.Millisecond
	// watchSlack is the time beyond its wait after which a watch counts as lost.
	watchSlack = 600 * time.Millisecond
	// readTimeout bounds a read of the store, which answers in milliseconds; a slow store takes some hundred.
	readTimeout = 1500 * time.Millisecond
	// rereadShare is the part of the store's history after which the configuration is read anew,
	// so that a change that a watch missed is found.
	rereadShare = 0.25
	// retryPause is the time before a failed read is tried again.
	retryPause = 250 * time.Millisecond
	// listPause is the time between two lists of the targets: a leaving one must get no new work two seconds after the store knows.
	listPause = 1100 * time.Millisecond
)

// followConfiguration keeps the configuration up to date.
func (p *Process) followConfiguration(ctx context.Context) {
	var revision int64
	var read time.Time
	reachable := true
	for ctx.Err() == nil {
		asked, ok := p.Boot.Now()
		var c *site.Configuration
		var err error
		fresh := p.configuration.Load() == nil || p.Now().Sub(read) > time.Duration(rereadShare*float64(p.settings.Load().History))
		if fresh {
			c, revision, err = p.readConfiguration(ctx)
			read = p.Now()
		} else {
			c, err = p.watchConfiguration(ctx, &revision)
		}
		switch {
		case errors.Is(err, site.ErrHistory):
			p.Log.Info("configuration is read anew", "reason", err)
			read = time.Time{}
			continue
		case err != nil:
			p.Store.Close()
			if reachable {
				p.Log.Warn("store lost", "call", "configuration", "error", err, "version", p.version())
			}
			reachable = false
			node.Pause(ctx, retryPause)
			continue
		}
		if !reachable {
			p.Log.Info("store regained", "call", "configuration", "version", p.version())
		}
		reachable = true
		if c != nil {
			p.accept(c)
		}
		if ok && p.configuration.Load() != nil {
			p.current.Store(int64(asked))
		}
		if p.configuration.Load() == nil {
			node.Pause(ctx, retryPause)
		}
	}
}

func (p *Process) readConfiguration(ctx context.Context) (*site.Configuration, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p.counts.reads.With("call", "configuration").Add(1)
	return p.Store.Configuration(ctx)
}

// watchConfiguration waits for a change after a revision. Without one the revision stays,
// since a watch without news does not prove that it heard all changes.
func (p *Process) watchConfiguration(ctx context.Context, revision *int64) (c *site.Configuration, err error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	p.counts.reads.With("call", "watch").Add(1)
	c, changed, err := p.Store.Changed(ctx, *revision, watchWait)
	if err == nil && c != nil {
		*revision = changed
	}
	return c, err
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

// followTargets keeps the list of targets up to date.
func (p *Process) followTargets(ctx context.Context) {
	reachable := true
	for ctx.Err() == nil {
		list, err := p.listTargets(ctx)
		if err != nil {
			p.Store.Close()
			p.mu.Lock()
			p.registry.Lose()
			p.mu.Unlock()
			if reachable {
				p.Log.Warn("store lost", "call", "targets", "error", err)
			}
			reachable = false
			node.Pause(ctx, retryPause)
			continue
		}
		if !reachable {
			p.Log.Info("store regained", "call", "targets")
		}
		reachable = true
		p.applyTargets(list)
		node.Pause(ctx, listPause)
	}
}

func (p *Process) listTargets(ctx context.Context) (list []site.Target, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p.counts.reads.With("call", "targets").Add(1)
	list, unreadable, err := p.Store.Targets(ctx)
	if unreadable > 0 {
		p.counts.unreadable.Add(float64(unreadable))
	}
	return list, err
}

func (p *Process) applyTargets(list []site.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.registry.Apply(p.Now(), list) {
		p.Log.Info("target "+c.Event, "target", c.ID, "service", c.Service, "address", c.Address, "centre", c.Centre, "own", c.Own)
	}
}
