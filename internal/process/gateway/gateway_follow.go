package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// watchWait is the time that one watch of the store waits for a change. When the store fails, the configuration was
	// last confirmed up to two waits ago; keys are accepted for what remains of the revocation time. Members of the data
	// centre must learn of each watch within maxRelayedAge.
	watchWait = 400 * time.Millisecond
	// watchGrace is added to watchWait for the timeout of a watch.
	watchGrace = 600 * time.Millisecond
	// readTimeout bounds a full read of the store, which answers in milliseconds; a slow store takes some hundred.
	readTimeout = 1500 * time.Millisecond
	// rereadFraction is the part of the store's history after which everything is read again,
	// so that a change that a watch missed is found.
	rereadFraction = 0.25
	// minWatchInterval is the average time between two calls while changes follow one another. A changed configuration is
	// still applied soon enough, and the calls of all entries stay within the store's rate limit.
	minWatchInterval = 300 * time.Millisecond
	// retryDelay is the time before a failed read is retried.
	retryDelay = 250 * time.Millisecond
	// maxRelayedAge is the age of what the relays have read above which an entry reads the store itself.
	maxRelayedAge = 1500 * time.Millisecond
	// followInterval is the time between two checks of that age.
	followInterval = 100 * time.Millisecond
	// staleReads is the number of stale reads of a changed configuration, staleReadInterval apart, before one that is not
	// stale: a stale one costs a tenth.
	staleReads        = 4
	staleReadInterval = 100 * time.Millisecond
)

var (
	// errRolledBack reports that the store has older contents than before, as after a recovery.
	errRolledBack = errors.New("the store has older contents than before")
	// errWatchLost reports that a watch ended without an answer that can be used, though there was time left. The store may be there.
	errWatchLost = errors.New("watch without an answer")
)

// followStore keeps the configuration and the targets up to date until the context ends. One relay of each data
// centre reads the store, and the other entries learn from it; they read it themselves while it does not tell them enough.
func (p *Process) followStore(ctx context.Context) {
	s := newStoreState()
	for ctx.Err() == nil {
		switch {
		case p.readFromPeer(ctx):
		case p.mustRead():
			p.readStore(ctx, s)
		case p.behind():
			s.revision = 0
			p.fetchConfiguration(ctx)
		default:
			s.revision = 0
			p.awaitStoreNews(ctx)
		}
	}
}

// mustRead reports whether this entry reads the store itself: it does so for its data centre, or the relays' news is missing or
// too old.
func (p *Process) mustRead() bool {
	now, ok := p.Boot.Now()
	at := time.Duration(p.confirmedAt.Load())
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mesh.IsReader(p.Now(), p.blind) || !ok || at < 0 || now-at > maxRelayedAge
}

// readsStore reports whether this entry has read the store itself of late; mu is held.
func (p *Process) readsStore() bool {
	now, ok := p.Boot.Now()
	return ok && !p.blind && p.readAt >= 0 && now-p.readAt <= maxRelayedAge
}

// behind reports whether a relay has a later configuration.
func (p *Process) behind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.version() < p.wantedVersion
}

// awaitStoreNews waits for a reason to read the store.
func (p *Process) awaitStoreNews(ctx context.Context) {
	t := time.NewTimer(followInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-p.storeNews:
	}
}

// wakeStore ends a wait of awaitStoreNews.
func (p *Process) wakeStore() {
	select {
	case p.storeNews <- struct{}{}:
	default:
	}
}

// fetchConfiguration reads the configuration of which a relay has told.
func (p *Process) fetchConfiguration(ctx context.Context) {
	began := p.Now()
	for i := 0; p.behind() && ctx.Err() == nil; i++ {
		read, call := p.Store.StaleConfiguration, "stale configuration"
		if i >= staleReads {
			read, call = p.Store.Configuration, "configuration"
		}
		p.metrics.storeCalls.With("call", call).Add(1)
		c, err := p.readConfiguration(ctx, read)
		if err != nil {
			p.Store.Close()
			p.Log.Warn("configuration not read", "error", err, "version", p.version())
			node.Pause(ctx, retryDelay)
			return
		}
		if c != nil {
			p.applyConfiguration(c)
		}
		if i >= staleReads {
			break
		}
		if p.behind() {
			node.Pause(ctx, staleReadInterval)
		}
	}
	node.Pause(ctx, minWatchInterval-p.Now().Sub(began))
}

func (p *Process) readConfiguration(ctx context.Context, read func(context.Context) (*site.Configuration, error)) (*site.Configuration, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return read(ctx)
}

// readStore reads what has changed in the store and tells the members about it if this entry is a relay.
func (p *Process) readStore(ctx context.Context, s *storeState) {
	began := p.Now()
	due := s.pace(began)
	startedAt, ok := p.Boot.Now()
	if p.unknown.Load() {
		// Requests wait to learn which targets have become cold in a pause; a watch would wait for a change.
		s.revision = 0
	}
	full := p.readsAll(s)
	err := p.syncOnce(ctx, s, full)
	switch {
	case errors.Is(err, site.ErrCompacted), errors.Is(err, errRolledBack), errors.Is(err, errWatchLost):
		p.Log.Info("store is read anew", "reason", err)
		p.Store.Close()
		s.revision = 0
		node.Pause(ctx, due.Sub(p.Now()))
		return
	case err != nil:
		p.Store.Close()
		p.markStoreLost(began, full)
		// The same watch might fail again.
		s.revision = 0
		if s.reachable {
			p.Log.Warn("store lost", "error", err, "version", p.version())
		}
		s.reachable = false
		switch {
		case p.readsAfterPause(s):
		case full:
			node.Pause(ctx, retryDelay)
		default:
			// After a watch without an answer the next read must show at once whether the store is lost.
			node.Pause(ctx, retryDelay-p.Now().Sub(began))
		}
		return
	case !s.reachable:
		p.Log.Info("store regained", "version", p.version())
		s.reachable = true
	}
	centres := s.centres()
	p.applyTargets(s.list(), centres, began)
	if ok {
		// The configuration is confirmed as of the start of the read.
		p.confirmRead(startedAt, s.targets, centres)
	}
	node.Pause(ctx, due.Sub(p.Now()))
}

// markStoreLost records that a full read or a watch that began at a time has failed, unless relays can read the store.
func (p *Process) markStoreLost(began time.Time, full bool) {
	now, ok := p.Boot.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blind = true
	switch {
	case !p.mesh.IsReader(p.Now(), p.blind) && ok && now-p.targetsAt <= maxRelayedAge:
	case full:
		p.registry.MarkStoreLost(began)
	default:
		p.registry.MarkWatchLost()
	}
}

// confirmRead records that this entry has read everything from the store as of a time on the Boot clock.
func (p *Process) confirmRead(at time.Duration, targets map[string]site.Target, centres []string) {
	if p.configuration.Load() != nil {
		p.confirm(at)
	}
	p.mu.Lock()
	p.targetsAt, p.blind = max(p.targetsAt, at), false
	p.mu.Unlock()
	if p.configuration.Load() != nil {
		p.updateFeed(targets, centres, at)
	}
}

// confirm records that the configuration was the latest at a time on the Boot clock.
func (p *Process) confirm(at time.Duration) {
	for {
		before := p.confirmedAt.Load()
		if int64(at) <= before || p.confirmedAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// readsAll reports whether a full read is due.
func (p *Process) readsAll(s *storeState) bool {
	return s.revision == 0 || s.listsCentres != p.evacuates() || p.Now().Sub(s.lastFullRead) > p.rereadInterval()
}

// syncOnce reads everything, or waits for a change.
func (p *Process) syncOnce(ctx context.Context, s *storeState, full bool) error {
	if full {
		return p.readAll(ctx, s)
	}
	return p.watch(ctx, s)
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
	evacuations, err := p.listEvacuations(ctx)
	if err != nil {
		return err
	}
	s.lastFullRead = p.Now()
	// The rest was read after the list, so watching from this revision misses no change. A lower revision than before is that of a
	// store with older contents.
	s.revision = listRevision
	if c != nil {
		p.applyConfiguration(c)
	}
	clear(s.targets)
	clear(s.unserved)
	p.updateTargets(s, list)
	p.replaceEvacuations(s, evacuations)
	s.forgetRecords(list, evacuations)
	maps.DeleteFunc(s.colds, func(id string, _ coldRecord) bool { _, ok := s.targets[id]; return !ok })
	return nil
}

// watch waits for changes after the known revision. Without any the revision stays the same,
// because an empty watch does not prove that it saw all changes.
func (p *Process) watch(ctx context.Context, s *storeState) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchGrace)
	defer cancel()
	p.metrics.storeCalls.With("call", "watch").Add(1)
	c, err := p.Store.Changes(ctx, s.revision, watchWait)
	var refusal *site.StatusError
	switch {
	case err == nil:
	case ctx.Err() != nil, errors.Is(err, site.ErrCompacted), errors.As(err, &refusal):
		return err
	default:
		return fmt.Errorf("%w: %w", errWatchLost, err)
	}
	if c.AsOf > 0 && c.AsOf < s.revision && p.Now().Sub(s.lastFullRead) > minRereadInterval {
		return errRolledBack
	}
	s.revision = max(s.revision, c.Revision)
	if c.Configuration != nil {
		p.applyConfiguration(c.Configuration)
	}
	p.updateTargets(s, c.Targets)
	p.updateEvacuations(s, c.Evacuations)
	if s.reachable {
		p.withdrawTargets(c.Targets)
	}
	return nil
}

// withdrawTargets tells the registry of records that were removed since the store was last read.
func (p *Process) withdrawTargets(changes []site.TargetRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.registry.Withdraw(p.Now(), removedRecords(changes)...)
}

// removedRecords returns the IDs of the records that were removed, not of those that can't be used.
func removedRecords(changes []site.TargetRecord) (ids []string) {
	for _, c := range changes {
		if c.Target == nil && c.Fault == nil {
			ids = append(ids, c.ID)
		}
	}
	return ids
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

// applyTargets replaces the known targets and evacuated data centres by lists that are at least as recent as the given time.
func (p *Process) applyTargets(list []site.Target, centres []string, readAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	p.setTargets(now, list, readAt)
	p.setCentres(now, centres)
}

// setTargets replaces the known targets by a list that is at least as recent as the given time; mu is held.
func (p *Process) setTargets(now time.Time, list []site.Target, readAt time.Time) {
	p.configureColds(now)
	p.registry.MinOutage = p.minOutage()
	for _, c := range p.registry.Apply(now, list) {
		p.applyChange(now, c)
		p.Log.Info("target "+c.Event, "target", c.ID, "service", c.Service, "address", c.Address, "centre", c.Centre, "own", c.Own)
	}
	p.applyGroups()
	p.unknown.Store(p.registry.NoteRead(now, readAt))
	p.resolveRuns(now, readAt)
}
