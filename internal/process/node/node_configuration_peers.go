package node

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// queryTimeout bounds a query for a peer's revision.
	queryTimeout = time.Second
	// maxQueryRounds bounds the rounds of queries; each asks the peers that the previous round made known.
	maxQueryRounds = 3
)

// errStreamRestart reports that a new stream from the same peer is needed.
var errStreamRestart = merry.Sentinel("the stream of changes must be reopened from the current position")

// bootstrap finds the latest revision that the service or a peer holds and puts it in force. It retries until there is one.
func (f *follower) bootstrap(ctx context.Context) {
	client := f.node.newClient()
	for ctx.Err() == nil {
		var group errgroup.Group
		group.Go(func() error { return f.readOnce(ctx, client) })
		group.Go(func() error { f.queryPeers(ctx); return nil })
		_ = group.Wait()
		// The configuration that was read may name further peers.
		f.queryPeers(ctx)
		if f.applyInitial() {
			return
		}
		f.recordRead(false)
		for ctx.Err() == nil && !f.due() {
			Pause(ctx, scheduleInterval)
		}
	}
}

// readOnce reads the service's current revision.
func (f *follower) readOnce(ctx context.Context, client *http.Client) error {
	_, err := f.readService(ctx, client, 0)
	if err != nil {
		f.node.Log.Debug("watch", "error", err)
	}
	return err
}

// queryPeers asks peers for their revision, then the peers that a newer revision names, each peer once.
func (f *follower) queryPeers(ctx context.Context) {
	queried := map[netip.AddrPort]bool{}
	for range maxQueryRounds {
		var group errgroup.Group
		count := 0
		for _, address := range f.peerAddresses() {
			if queried[address] {
				continue
			}
			queried[address] = true
			count++
			group.Go(func() error { f.queryPeer(ctx, address); return nil })
		}
		_ = group.Wait()
		if count == 0 {
			return
		}
	}
}

// peerAddresses returns the peers in the settings and some of the configured entries.
func (f *follower) peerAddresses() []netip.AddrPort {
	addresses := slices.Clone(f.node.Settings.Peers)
	c, _ := f.current()
	if c == nil {
		return addresses
	}
	for _, e := range f.sources.Peers(c) {
		addresses = append(addresses, e.Address)
	}
	return addresses
}

// queryPeer receives the revision that a peer holds.
func (f *follower) queryPeer(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	err := f.receiveChanges(ctx, address, func() bool { return false })
	if err != nil {
		f.node.Log.Debug("ask", "address", address, "error", err)
	}
}

// followParent keeps a stream of changes from the current parent open until the context ends.
func (f *follower) followParent(ctx context.Context) {
	for ctx.Err() == nil {
		parent := f.plan().Parent
		if parent == nil {
			Pause(ctx, scheduleInterval)
			continue
		}
		err := f.receiveChanges(ctx, parent.Address, func() bool { return f.keepParent(parent) })
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.node.Log.Debug("follow", "parent", parent.Name, "error", err)
		f.mu.Lock()
		f.sources.Fail(f.node.Now(), parent.Name)
		f.mu.Unlock()
	}
}

// keepParent records that a parent answered and reports whether it is still the one to follow.
func (f *follower) keepParent(parent *configuration.Entry) bool {
	f.mu.Lock()
	f.sources.Clear(parent.Name)
	f.mu.Unlock()
	next := f.plan().Parent
	return next != nil && next.Address == parent.Address
}

// receiveChanges applies a peer's changes until more reports false or the stream must be reopened. It returns an error
// if the connection ends or times out, or if a change cannot be applied.
func (f *follower) receiveChanges(ctx context.Context, address netip.AddrPort, more func() bool) (err error) {
	conn, err := f.node.Pool.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	timer := time.AfterFunc(f.node.receiveTimeout(), func() { _ = conn.Close() })
	defer timer.Stop()
	_, position := f.current()
	stream, err := message.NewDRPCEntryClient(conn).Changes(ctx, &message.Position{
		Name: f.node.Settings.Name, Revision: position.Revision, Digest: position.Digest,
	})
	if err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		// The timeout does not include the time that this process takes for a value.
		timer.Stop()
		err = f.applyRevision(m, address)
		if errors.Is(err, errStreamRestart) {
			return nil
		}
		if err != nil {
			return err
		}
		if !more() {
			return nil
		}
		timer.Reset(f.node.receiveTimeout())
	}
}

// receiveTimeout returns the time without a message after which a connection between processes has timed out.
func (n *Node) receiveTimeout() time.Duration {
	return time.Duration(n.Settings.Ping)
}

// applyRevision applies one message of a peer's stream.
func (f *follower) applyRevision(m *message.Revision, address netip.AddrPort) error {
	f.recordContact(time.Duration(m.Age) * time.Microsecond)
	if len(m.Data) == 0 {
		return nil
	}
	p := m.Decode()
	f.mu.Lock()
	base := f.history.Find(p.Base)
	f.mu.Unlock()
	data, err := p.Apply(base)
	if errors.Is(err, revision.ErrBase) {
		// The next stream starts at the position that is current by then.
		return errStreamRestart
	}
	if err != nil {
		return err
	}
	f.relayPatch(p, data)
	f.offer(data, address.String())
	return nil
}

// relayPatch relays a newer value of a peer at once, before it is checked here. This is safe, because the first sender
// of a value has accepted it and each receiver checks it itself.
func (f *follower) relayPatch(p *revision.Patch, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Revision <= f.history.Position().Revision {
		return
	}
	f.patch = p
	f.relay = &revision.Value{Position: p.Position, Data: data}
	f.notify()
}
