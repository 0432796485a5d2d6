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
	// planInterval is the time between two looks at what is due.
	planInterval = 100 * time.Millisecond
	// reasonSize bounds the reason of a refusal in bytes.
	reasonSize = 500
)

// follower keeps a process's configuration up to date. It is safe for concurrent use.
type follower struct {
	node *Node
	// accept puts a value in force; it is set before the follower runs.
	accept func(*configuration.Configuration)

	mu sync.Mutex
	// book, sources and reader are guarded by mu.
	book    *revision.History
	sources *revision.Sources
	reader  *revision.Reader
	// changed is closed at each accepted value; guarded by mu.
	changed chan struct{}
	// patch is the newest change that was made or received; guarded by mu.
	patch *revision.Patch
	// relay is a value from a peer that is passed on while it is checked here, or nil; guarded by mu.
	relay *revision.Value
}

func newFollower(n *Node) *follower {
	return &follower{
		node:    n,
		book:    revision.NewHistory(),
		sources: revision.NewSources(n.Settings.Name, n.Settings.Centre),
		reader:  revision.NewReader(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		changed: make(chan struct{}),
	}
}

// Follow passes on each newer accepted value until the context ends; the first one only
// after several peers were asked for a newer one.
func (n *Node) Follow(ctx context.Context, accept func(*configuration.Configuration)) {
	f := n.follower
	f.accept = accept
	f.start(ctx)
	var group errgroup.Group
	group.Go(func() error { f.readAll(ctx); return nil })
	group.Go(func() error { f.followAll(ctx); return nil })
	_ = group.Wait()
}

// take offers a value to the book and reports what became of it.
func (f *follower) take(data []byte, source string) revision.Verdict {
	c, same := f.check(data)
	f.mu.Lock()
	defer f.mu.Unlock()
	if same {
		c.Position = f.book.Position()
	}
	v := f.book.Take(c)
	if f.relay != nil && f.relay.Digest == c.Digest {
		f.relay = nil
	}
	switch v.State {
	case revision.StateForce:
		f.notify()
		f.enforce(f.book.Latest(), source, v.Changes)
	case revision.StateHeld:
		f.notify()
	case revision.StateRefused:
		if v.First {
			f.node.Trail.Record(f.node.Now(), "configuration", "revision", v.Position.Revision,
				"state", "refused", "source", source, "reason", short(v.Err))
		}
	}
	return v
}

// short returns the start of an error's text, for one line of a log.
func short(err error) string {
	text := err.Error()
	return text[:min(len(text), reasonSize)]
}

// check parses a value outside of the lock, because that takes long, unless it is the newest one.
func (f *follower) check(data []byte) (c revision.Candidate, same bool) {
	f.mu.Lock()
	same = f.book.Same(revision.Digest(data))
	f.mu.Unlock()
	if same {
		return revision.Candidate{}, true
	}
	return revision.Read(data), false
}

// notify wakes the streams of other processes; mu is held.
func (f *follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// enforce puts a value in force; mu is held, so values come in order.
func (f *follower) enforce(v *revision.Value, source, changes string) {
	f.node.Trail.Record(f.node.Now(), "configuration", "revision", v.Revision, "author", v.Configuration.Author,
		"state", "accepted", "source", source, "changes", changes)
	f.accept(v.Configuration)
}

// open puts the newest value in force at the end of the start and reports whether there was one.
func (f *follower) open() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.book.Latest() == nil {
		return false
	}
	v := f.book.Open()
	f.enforce(v, "start", revision.Changes(nil, v.Configuration))
	return true
}

// current returns the newest accepted configuration, or nil, and the position of its value.
func (f *follower) current() (*configuration.Configuration, revision.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.book.Latest()
	if v == nil {
		return nil, revision.Position{}
	}
	return v.Configuration, v.Position
}

// plan returns the present sources.
func (f *follower) plan() revision.Plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var c *configuration.Configuration
	if v := f.book.Latest(); v != nil {
		c = v.Configuration
	}
	return f.sources.Plan(f.node.Now(), c)
}

// hear notes a contact with the service that is age old.
func (f *follower) hear(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.RecordContact(f.node.Now(), age)
}
