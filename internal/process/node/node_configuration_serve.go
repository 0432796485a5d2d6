package node

import (
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// Changes streams newer values and signs of life to a peer.
func (n *Node) Changes(p *message.Position, out message.DRPCEntry_ChangesStream) error {
	f := n.follower
	sent := revision.Position{Revision: p.Revision, Digest: p.Digest}
	ping := time.NewTicker(n.silence() / 2)
	defer ping.Stop()
	for {
		m, changed, err := f.next(sent)
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

// next returns the next message to a peer that holds a position, and a channel that is closed at the next change.
func (f *follower) next(sent revision.Position) (m *message.Revision, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := f.book.Age(f.node.Now())
	v := f.newest()
	if v == nil || v.Revision <= sent.Revision {
		return &message.Revision{Revision: sent.Revision, Age: age.Microseconds()}, f.changed, nil
	}
	base := f.book.Find(sent)
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

// newest returns the newest value that may be sent to peers, or nil; mu is held.
func (f *follower) newest() *revision.Value {
	v := f.book.Latest()
	if f.relay != nil && f.relay.Revision > f.book.Position().Revision {
		return f.relay
	}
	return v
}
