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

// errSilent reports a connection without a sign of life.
var errSilent = merry.Sentinel("the connection is silent")

// start begins an attempt in the background and ends the one before; mu is held.
func (p *Process) start(s *entry.Send) {
	if before, ok := p.attempts[s.Request.ID]; ok {
		before.cancel()
	}
	ctx, cancel := context.WithDeadline(p.ctx, s.Deadline)
	p.attempts[s.Request.ID] = attempt{number: s.Request.Attempt, cancel: cancel}
	go p.attempt(ctx, cancel, s)
}

// attempt sends a request to a slot and passes the answer to the core.
func (p *Process) attempt(ctx context.Context, cancel context.CancelFunc, s *entry.Send) {
	defer cancel()
	p.sent(s)
	sent, err := p.exchange(ctx, s)
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

// exchange reports whether a byte of the request may have left, and an error unless the answer ended.
func (p *Process) exchange(ctx context.Context, s *entry.Send) (sent bool, err error) {
	conn, err := p.Pool.Take(ctx, s.Address)
	if err != nil {
		return false, err
	}
	request := message.EncodeRequest(&s.Request)
	left, ok := s.Left(p.Now())
	if !ok {
		_ = conn.Close()
		return false, context.DeadlineExceeded
	}
	request.Remaining = left.Microseconds()
	stream, err := message.NewDRPCSlotClient(conn).Serve(ctx, request)
	if err == nil {
		err = p.receive(conn, stream, s)
	}
	if err != nil {
		_ = conn.Close()
		return true, err
	}
	_ = stream.Close()
	p.Pool.Put(s.Address, conn)
	return true, nil
}

// receive passes chunks to the core until the end of the answer.
func (p *Process) receive(conn drpc.Conn, stream message.DRPCSlot_ServeClient, s *entry.Send) error {
	reply := p.reply(s.Request.ID)
	silence := time.AfterFunc(time.Duration(p.Settings.Ping), func() { _ = conn.Close() })
	defer silence.Stop()
	for {
		m, err := stream.Recv()
		if !silence.Stop() {
			return errSilent
		}
		if err != nil {
			return err
		}
		c := m.Decode()
		if !c.Ping() {
			if reply != nil {
				reply.room()
			}
			p.handle(entry.Event{Chunk: &entry.Chunk{Chunk: c, Attempt: s.Request.Attempt}})
		}
		if c.End {
			return nil
		}
		silence.Reset(time.Duration(p.Settings.Ping))
	}
}

// watch replaces the set of heartbeat streams; mu is held.
func (p *Process) watch(w *entry.Watch) {
	wanted := map[netip.AddrPort]bool{}
	p.beat = w.HeartbeatInterval
	for _, address := range w.Targets {
		wanted[address] = true
		if p.watches[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.watches[address] = cancel
		go p.listen(ctx, address)
	}
	for address, cancel := range p.watches {
		if !wanted[address] {
			cancel()
			delete(p.watches, address)
		}
	}
}

// listen keeps a heartbeat stream to a slot open until the context ends.
func (p *Process) listen(ctx context.Context, address netip.AddrPort) {
	for ctx.Err() == nil {
		if err := p.beats(ctx, address); err != nil {
			p.Log.Debug("heartbeats", "address", address, "error", err)
		}
		node.Pause(ctx, time.Duration(p.Settings.Beat))
	}
}

// beats passes heartbeats to the core until the connection ends or goes silent.
func (p *Process) beats(ctx context.Context, address netip.AddrPort) (err error) {
	conn, err := p.Pool.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stream, err := message.NewDRPCSlotClient(conn).Watch(ctx, &message.Subscription{
		Entry: p.Settings.Name, Beat: p.interval().Microseconds(),
	})
	if err != nil {
		return err
	}
	silence := time.AfterFunc(p.patience(), func() { _ = conn.Close() })
	defer silence.Stop()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(p.patience())
		h := m.Decode()
		p.handle(entry.Event{Heartbeat: &h})
	}
}

// patience is the time without a heartbeat after which a stream counts as silent.
func (p *Process) patience() time.Duration {
	return max(2*p.interval(), time.Duration(p.Settings.Ping))
}

// interval is the wanted time between heartbeats.
func (p *Process) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.beat, time.Duration(p.Settings.Beat))
}
