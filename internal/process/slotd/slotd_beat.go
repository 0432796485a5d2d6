package slotd

import (
	"errors"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// Watch streams the target's heartbeats until the process ends: at the wanted interval and at each change of state.
func (s *server) Watch(subscription *message.Subscription, out message.DRPCSlot_WatchStream) error {
	p := s.process
	beat := max(time.Duration(subscription.Beat)*time.Microsecond, time.Duration(p.Settings.Beat))
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		h, moved := p.beat()
		if err := out.Send(message.EncodeHeartbeat(h)); err != nil {
			return err
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-p.exit:
			h, _ = p.beat()
			return errors.Join(out.Send(message.EncodeHeartbeat(h)), out.CloseSend())
		case <-moved:
		case <-ticker.C:
		}
	}
}

// beat returns the next heartbeat and a channel that is closed at the next change of the target's state.
func (p *Process) beat() (*membership.Heartbeat, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.core.NextHeartbeat(p.Now())
	if p.moved == nil {
		p.moved = make(chan struct{})
	}
	return &h, p.moved
}

// announce wakes the heartbeat streams after a change of the target's state; mu is held.
func (p *Process) announce() {
	if p.state == p.core.State() {
		return
	}
	p.state = p.core.State()
	if p.moved != nil {
		close(p.moved)
		p.moved = nil
	}
}
