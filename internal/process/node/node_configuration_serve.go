package node

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// Changes streams newer values to a peer, and empty messages in between so that the peer's receive timeout does not
// expire.
func (n *Node) Changes(p *message.Position, out message.DRPCEntry_ChangesStream) error {
	f := n.follower
	sent := revision.Position{Revision: p.Revision, Digest: p.Digest}
	ping := time.NewTicker(n.receiveTimeout() / 2)
	defer ping.Stop()
	for {
		m, changed, err := f.nextRevision(sent)
		if err != nil {
			return err
		}
		if err := out.Send(m); err != nil {
			return err
		}
		if len(m.Data) > 0 {
			sent = revision.Position{Revision: m.Revision, Digest: m.Digest}
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-changed:
		case <-ping.C:
		}
	}
}

// nextRevision returns the next message to a peer that holds the position sent, and a channel that is closed at the next
// change.
func (f *follower) nextRevision(sent revision.Position) (m *message.Revision, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.history.Age(f.node.Now())
	v := f.latestForPeers()
	if v == nil || v.Revision <= sent.Revision {
		return &message.Revision{Revision: sent.Revision, Age: age.Microseconds()}, f.changed, nil
	}
	base := f.history.Find(sent)
	var from revision.Position
	if base != nil {
		from = base.Position
	}
	if f.patch == nil || f.patch.Position != v.Position || f.patch.Base != from {
		f.patch, err = revision.MakePatch(base, v)
		if err != nil {
			return nil, nil, err
		}
	}
	return message.EncodePatch(f.patch, age), f.changed, nil
}

// latestForPeers returns the latest value that may be sent to peers, or nil; mu is held.
func (f *follower) latestForPeers() *revision.Value {
	v := f.history.Latest()
	if f.relay != nil && f.relay.Revision > f.history.Position().Revision {
		return f.relay
	}
	return v
}
