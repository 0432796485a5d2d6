package slotd

import (
	"context"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// Deliver receives a message from another slot. A message for another target is not accepted.
func (s *server) Deliver(_ context.Context, e *message.Envelope) (*message.Receipt, error) {
	if e.Target != s.process.Settings.Name {
		return &message.Receipt{}, nil
	}
	m := &slot.Message{Source: e.Source, Incarnation: e.Incarnation}
	switch body := e.Body.(type) {
	case *message.Envelope_Switch:
		m.Switch = body.Switch.Decode()
	case *message.Envelope_Loan:
		m.Loan = body.Loan.Decode()
	case *message.Envelope_Handover:
		m.Handover = decodeHandover(body.Handover)
	}
	return &message.Receipt{Accepted: s.process.handleMessage(m)}, nil
}

// handleMessage passes a message to the core and reports whether the core accepted it.
func (p *Process) handleMessage(m *slot.Message) (accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	accepted = true
	for _, a := range p.core.Handle(p.Now(), slot.Event{Message: m}) {
		if a.Receipt != nil {
			accepted = a.Receipt.Accepted
			continue
		}
		p.perform(a)
	}
	return accepted
}

// sendMessage sends a message to another slot in the background. It does not re-send a lost message.
func (p *Process) sendMessage(d *slot.Deliver) {
	e := &message.Envelope{Source: p.Settings.Name, Incarnation: p.core.Incarnation(), Target: d.Target}
	switch {
	case d.Message.Switch != nil:
		e.Body = &message.Envelope_Switch{Switch: message.EncodeSwitch(d.Message.Switch)}
	case d.Message.Loan != nil:
		e.Body = &message.Envelope_Loan{Loan: message.EncodeLoan(d.Message.Loan)}
	case d.Message.Handover != nil:
		e.Body = &message.Envelope_Handover{Handover: encodeHandover(d.Message.Handover)}
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, time.Duration(p.Settings.Ping))
		defer cancel()
		conn := p.Pool.Conn(ctx, d.Address)
		defer func() { _ = conn.Close() }()
		receipt, err := message.NewDRPCSlotClient(conn).Deliver(ctx, e)
		if err != nil {
			p.Log.Debug("deliver", "target", d.Target, "error", err)
		}
		if d.Message.Handover != nil {
			accepted := err == nil && receipt.Accepted
			p.handle(slot.Event{HandoverReply: &slot.HandoverReply{Target: d.Target, Accepted: accepted}})
		}
	}()
}

func decodeHandover(h *message.Handover) *slot.Handover {
	out := &slot.Handover{Incarnation: h.Incarnation, Sealed: h.Sealed}
	for _, r := range h.Records {
		out.Records = append(out.Records, slot.Record{
			Key: r.Key, Outcome: call.Outcome(r.Outcome), Status: int(r.Status), Media: r.Media, Answer: r.Answer,
			Fingerprint: r.Fingerprint, Reason: r.Reason,
		})
	}
	for _, s := range h.Sessions {
		out.Sessions = append(out.Sessions, slot.Session{Name: s.Name, Cache: s.Cache})
	}
	return out
}

func encodeHandover(h *slot.Handover) *message.Handover {
	out := &message.Handover{Incarnation: h.Incarnation, Sealed: h.Sealed}
	for _, r := range h.Records {
		out.Records = append(out.Records, &message.Record{
			Key: r.Key, Outcome: uint32(r.Outcome), Status: uint32(r.Status), Media: r.Media, Answer: r.Answer,
			Fingerprint: r.Fingerprint, Reason: r.Reason,
		})
	}
	for _, s := range h.Sessions {
		out.Sessions = append(out.Sessions, &message.Session{Name: s.Name, Cache: s.Cache})
	}
	return out
}
