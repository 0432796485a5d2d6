package entryd

import (
	"context"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// errReceiveTimeout reports a connection without a message or ping for the ping timeout.
var errReceiveTimeout = merry.Sentinel("the slot sent nothing for the ping timeout")

// startAttempt starts an attempt in the background and cancels the previous one; mu is held.
func (p *Process) startAttempt(s *entry.Send) {
	if before, ok := p.attempts[s.Request.ID]; ok {
		before.cancel()
	}
	ctx, cancel := context.WithDeadline(p.ctx, s.Deadline)
	p.attempts[s.Request.ID] = attempt{number: s.Request.Attempt, cancel: cancel}
	go p.runAttempt(ctx, cancel, s)
}

// runAttempt sends a request to a slot and passes the answer, or the loss of the connection, to the core.
func (p *Process) runAttempt(ctx context.Context, cancel context.CancelFunc, s *entry.Send) {
	defer cancel()
	p.recordAttempt(s)
	sent, err := p.sendRequest(ctx, s)
	p.mu.Lock()
	if p.attempts[s.Request.ID].number == s.Request.Attempt {
		delete(p.attempts, s.Request.ID)
	}
	p.mu.Unlock()
	if err != nil {
		p.handle(entry.Event{ConnectionLost: &entry.ConnectionLost{
			ID: s.Request.ID, Attempt: s.Request.Attempt, Sent: sent, Reason: err.Error(),
		}})
	}
}

// sendRequest sends a request and receives its answer. It reports whether any byte of the request may have been sent, and
// returns an error unless the last chunk of the answer arrived.
func (p *Process) sendRequest(ctx context.Context, s *entry.Send) (sent bool, err error) {
	conn, err := p.Pool.Take(ctx, s.Address)
	if err != nil {
		return false, err
	}
	request := message.EncodeRequest(&s.Request)
	remaining, ok := s.Remaining(p.Now())
	if !ok {
		_ = conn.Close()
		return false, context.DeadlineExceeded
	}
	request.Remaining = remaining.Microseconds()
	stream, err := message.NewDRPCSlotClient(conn).Serve(ctx, request)
	if err == nil {
		err = p.receiveAnswer(conn, stream, s)
	}
	if err != nil {
		_ = conn.Close()
		return true, err
	}
	_ = stream.Close()
	p.Pool.Put(s.Address, conn)
	return true, nil
}

// receiveAnswer passes the chunks of an answer to the core until it ends.
func (p *Process) receiveAnswer(conn drpc.Conn, stream message.DRPCSlot_ServeClient, s *entry.Send) error {
	reply := p.findReply(s.Request.ID)
	timer := time.AfterFunc(time.Duration(p.Settings.Ping), func() { _ = conn.Close() })
	defer timer.Stop()
	for {
		m, err := stream.Recv()
		if !timer.Stop() {
			return errReceiveTimeout
		}
		if err != nil {
			return err
		}
		c := m.Decode()
		if !c.Ping() {
			if reply != nil {
				reply.waitForSpace()
			}
			p.handle(entry.Event{Chunk: &entry.Chunk{Chunk: c, Attempt: s.Request.Attempt}})
		}
		if c.End {
			return nil
		}
		timer.Reset(time.Duration(p.Settings.Ping))
	}
}

// updateWatches opens and closes heartbeat streams to match the given set of targets; mu is held.
func (p *Process) updateWatches(w *entry.Watch) {
	wanted := map[netip.AddrPort]bool{}
	p.wantedInterval = w.HeartbeatInterval
	for _, address := range w.Targets {
		wanted[address] = true
		if p.watches[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.watches[address] = cancel
		go p.followHeartbeats(ctx, address)
	}
	for address, cancel := range p.watches {
		if !wanted[address] {
			cancel()
			delete(p.watches, address)
		}
	}
}

// followHeartbeats keeps a heartbeat stream to a slot open until the context ends.
func (p *Process) followHeartbeats(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		if err := p.receiveHeartbeats(ctx, address); err != nil {
			p.Log.Debug("heartbeats", "address", address, "error", err)
		}
		node.Pause(ctx, time.Duration(p.Settings.Beat))
	}
}

// receiveHeartbeats passes heartbeats to the core until the connection ends or times out.
func (p *Process) receiveHeartbeats(ctx context.Context, address netip.AddrPort) (err error) {
	conn, err := p.Pool.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := message.NewDRPCSlotClient(conn).Watch(ctx, &message.Subscription{
		Entry: p.Settings.Name, Beat: p.heartbeatInterval().Microseconds(),
	})
	if err != nil {
		return err
	}
	timer := time.AfterFunc(p.heartbeatTimeout(), func() { _ = conn.Close() })
	defer timer.Stop()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		timer.Reset(p.heartbeatTimeout())
		h := m.Decode()
		p.handle(entry.Event{Heartbeat: &h})
	}
}

// heartbeatTimeout returns the time without a heartbeat after which a stream has timed out.
func (p *Process) heartbeatTimeout() time.Duration {
	return max(2*p.heartbeatInterval(), time.Duration(p.Settings.Ping))
}

// heartbeatInterval returns the time between heartbeats to ask for.
func (p *Process) heartbeatInterval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.wantedInterval, time.Duration(p.Settings.Beat))
}
