package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

const (
	// scheduleInterval is the time between two checks whether a read is due or there is a parent to follow.
	scheduleInterval = 100 * time.Millisecond
	// maxReasonSize is the largest size of a logged reason for a refusal in bytes.
	maxReasonSize = 500
)

// follower keeps a process's configuration up to date. It is safe for concurrent use.
type follower struct {
	node *Node
	// accept receives each configuration that comes into force; Follow sets it.
	accept func(*configuration.Configuration)

	// mu guards the fields below.
	mu      sync.Mutex
	history *revision.History
	sources *revision.Sources
	reader  *revision.Reader
	// changed is closed and replaced at each new value.
	changed chan struct{}
	// patch is the latest patch that was made or received.
	patch *revision.Patch
	// relay is a value from a peer that is relayed while it is still being checked here, or nil.
	relay *revision.Value
}

func newFollower(n *Node) *follower {
	return &follower{
		node:    n,
		history: revision.NewHistory(),
		sources: revision.NewSources(n.Settings.Name, n.Settings.Centre),
		reader:  revision.NewReader(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		changed: make(chan struct{}),
	}
}

// Follow calls accept with each newer accepted configuration until the context ends. Before the first call, several peers
// are asked for a newer one.
func (n *Node) Follow(ctx context.Context, accept func(*configuration.Configuration)) {
	f := n.follower
	f.accept = accept
	f.bootstrap(ctx)
	var group errgroup.Group
	group.Go(func() error { f.followService(ctx); return nil })
	group.Go(func() error { f.followParent(ctx); return nil })
	_ = group.Wait()
}

// offer checks a value, records it and reports the verdict. An accepted value comes into force, or is held until
// applyInitial.
func (f *follower) offer(data []byte, source string) revision.Verdict {
	c, unchanged := f.parse(data)
	f.mu.Lock()
	defer f.mu.Unlock()
	if unchanged {
		c.Position = f.history.Position()
	}
	v := f.history.Offer(c)
	if f.relay != nil && f.relay.Digest == c.Digest {
		f.relay = nil
	}
	switch v.State {
	case revision.StateInForce:
		f.notify()
		f.apply(f.history.Latest(), source, v.Changes)
	case revision.StateHeld:
		f.notify()
	case revision.StateRefused:
		if v.First {
			f.node.Trail.Record(f.node.Now(), "configuration", "revision", v.Position.Revision,
				"state", "refused", "source", source, "reason", truncateReason(v.Err))
		}
	}
	return v
}

// truncateReason returns the start of an error's text, up to maxReasonSize bytes.
func truncateReason(err error) string {
	text := err.Error()
	return text[:min(len(text), maxReasonSize)]
}

// parse parses a value, unless it is the latest one again. It does not hold mu meanwhile, because parsing takes long.
func (f *follower) parse(data []byte) (c revision.Candidate, unchanged bool) {
	f.mu.Lock()
	unchanged = f.history.IsLatest(revision.Digest(data))
	f.mu.Unlock()
	if unchanged {
		return revision.Candidate{}, true
	}
	return revision.Read(data), false
}

// notify wakes the streams to other processes; mu is held.
func (f *follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply puts a value in force; mu is held, so that values are applied in order.
func (f *follower) apply(v *revision.Value, source, changes string) {
	f.node.Trail.Record(f.node.Now(), "configuration", "revision", v.Revision, "author", v.Configuration.Author,
		"state", "accepted", "source", source, "changes", changes)
	f.accept(v.Configuration)
}

// applyInitial puts the latest value in force at the end of bootstrap and reports whether there is one.
func (f *follower) applyInitial() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.history.Latest() == nil {
		return false
	}
	v := f.history.Open()
	f.apply(v, "start", revision.Changes(nil, v.Configuration))
	return true
}

// current returns the latest accepted configuration, or nil, and its position.
func (f *follower) current() (*configuration.Configuration, revision.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.history.Latest()
	if v == nil {
		return nil, revision.Position{}
	}
	return v.Configuration, v.Position
}

// plan returns the sources to read from now.
func (f *follower) plan() revision.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c *configuration.Configuration
	if v := f.history.Latest(); v != nil {
		c = v.Configuration
	}
	return f.sources.Plan(f.node.Now(), c)
}

// recordContact records a contact with the configuration service, made age ago by this process or another.
func (f *follower) recordContact(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history.RecordContact(f.node.Now(), age)
}
