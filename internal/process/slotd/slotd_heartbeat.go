package slotd

import (
	"errors"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// Watch streams the target's heartbeats until the process ends, at the requested interval and at each change of state.
func (s *server) Watch(subscription *message.Subscription, out message.DRPCSlot_WatchStream) error {
	p := s.process
	interval := max(time.Duration(subscription.Beat)*time.Microsecond, time.Duration(p.Settings.Beat))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		h, stateChanged := p.nextHeartbeat()
		if err := out.Send(message.EncodeHeartbeat(h)); err != nil {
			return err
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-p.exit:
			h, _ = p.nextHeartbeat()
			return errors.Join(out.Send(message.EncodeHeartbeat(h)), out.CloseSend())
		case <-stateChanged:
		case <-ticker.C:
		}
	}
}

// nextHeartbeat returns the next heartbeat and a channel that is closed at the next change of the target's state.
func (p *Process) nextHeartbeat() (*membership.Heartbeat, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.core.NextHeartbeat(p.Now())
	if p.stateChanged == nil {
		p.stateChanged = make(chan struct{})
	}
	return &h, p.stateChanged
}

// notifyStateChange wakes the heartbeat streams if the target's state has changed; mu is held.
func (p *Process) notifyStateChange() {
	if p.announcedState == p.core.State() {
		return
	}
	p.announcedState = p.core.State()
	if p.stateChanged != nil {
		close(p.stateChanged)
		p.stateChanged = nil
	}
}
