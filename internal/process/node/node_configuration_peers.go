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
	// askTimeout bounds the question for a peer's revision.
	askTimeout = time.Second
	// askRounds bounds the rounds of questions, each to the peers that the one before has named.
	askRounds = 3
)

// errRestart asks for a new stream from the same peer.
var errRestart = merry.Sentinel("the stream has to begin again")

// start learns of the newest revision that the service or a peer holds and puts it in force.
func (f *follower) start(ctx context.Context) {
	client := f.node.newClient()
	for ctx.Err() == nil {
		var group errgroup.Group
		group.Go(func() error { return f.readOnce(ctx, client) })
		group.Go(func() error { f.askAll(ctx); return nil })
		_ = group.Wait()
		f.askAll(ctx)
		if f.open() {
			return
		}
		f.settle(false)
		for ctx.Err() == nil && !f.due() {
			Pause(ctx, planInterval)
		}
	}
}

// readOnce asks the service for what it has now.
func (f *follower) readOnce(ctx context.Context, client *http.Client) error {
	_, err := f.read(ctx, client, 0)
	if err != nil {
		f.node.Log.Debug("watch", "error", err)
	}
	return err
}

// askAll asks peers for their revision, then those that a newer one names, each once.
func (f *follower) askAll(ctx context.Context) {
	asked := map[netip.AddrPort]bool{}
	for range askRounds {
		var group errgroup.Group
		count := 0
		for _, address := range f.peers() {
			if asked[address] {
				continue
			}
			asked[address] = true
			count++
			group.Go(func() error { f.ask(ctx, address); return nil })
		}
		_ = group.Wait()
		if count == 0 {
			return
		}
	}
}

// peers returns the addresses of the settings and of some of the configured entries.
func (f *follower) peers() []netip.AddrPort {
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

// ask takes in what one peer holds.
func (f *follower) ask(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := f.listen(ctx, address, func() bool { return false })
	if err != nil {
		f.node.Log.Debug("ask", "address", address, "error", err)
	}
}

// followAll keeps a stream of changes from the present parent open.
func (f *follower) followAll(ctx context.Context) {
	for ctx.Err() == nil {
		parent := f.plan().Parent
		if parent == nil {
			Pause(ctx, planInterval)
			continue
		}
		err := f.listen(ctx, parent.Address, func() bool { return f.stays(parent) })
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.node.Log.Debug("follow", "parent", parent.Name, "error", err)
		f.mu.Lock()
		f.sources.Fail(f.node.Now(), parent.Name)
		f.mu.Unlock()
	}
}

// stays notes that a parent answered and reports whether it is still the one to follow.
func (f *follower) stays(parent *configuration.Entry) bool {
	f.mu.Lock()
	f.sources.Clear(parent.Name)
	f.mu.Unlock()
	next := f.plan().Parent
	return next != nil && next.Address == parent.Address
}

// listen takes in a peer's changes while more reports true, until the connection ends or goes silent.
func (f *follower) listen(ctx context.Context, address netip.AddrPort, more func() bool) (err error) {
	conn, err := f.node.Pool.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	silence := time.AfterFunc(f.node.silence(), func() { _ = conn.Close() })
	defer silence.Stop()
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
		// The time that this process takes for a value says nothing about the peer.
		silence.Stop()
		err = f.receive(m, address)
		if errors.Is(err, errRestart) {
			return nil
		}
		if err != nil {
			return err
		}
		if !more() {
			return nil
		}
		silence.Reset(f.node.silence())
	}
}

// silence is the time without a sign of life after which a connection between processes counts as silent.
func (n *Node) silence() time.Duration {
	return time.Duration(n.Settings.Ping)
}

// receive takes in one message of a peer.
func (f *follower) receive(m *message.Revision, address netip.AddrPort) error {
	f.hear(time.Duration(m.Age) * time.Microsecond)
	if len(m.Data) == 0 {
		return nil
	}
	p := m.Decode()
	f.mu.Lock()
	base := f.book.Find(p.Base)
	f.mu.Unlock()
	data, err := p.Apply(base)
	if errors.Is(err, revision.ErrBase) {
		// The next stream begins with the position that is held by then.
		return errRestart
	}
	if err != nil {
		return err
	}
	f.pass(p, data)
	f.take(data, address.String())
	return nil
}

// pass lets a newer value of a peer travel on at once. Only values that a process accepted begin to travel,
// and each receiver checks them itself.
func (f *follower) pass(p *revision.Patch, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Revision <= f.book.Position().Revision {
		return
	}
	f.patch = p
	f.relay = &revision.Value{Position: p.Position, Data: data}
	f.notify()
}
