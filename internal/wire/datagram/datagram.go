// Package datagram sends and receives UDP datagrams between processes. Each datagram is complete in itself, so a lost one
// needs no retransmission and there is no connection that could be lost unnoticed.
package datagram

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/mesh"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// maxDatagramSize is the largest payload of a UDP datagram over IPv4 in bytes.
const maxDatagramSize = 65507

// Socket sends and receives datagrams. Send and Receive may be called from different goroutines.
type Socket struct {
	conn *net.UDPConn
	// Reachable reports whether datagrams to an address are sent; nil means always. It must be set before the first Send.
	Reachable func(address netip.AddrPort) bool
}

// Listen opens a Socket at an address.
func Listen(address netip.AddrPort) (s *Socket, err error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prependf(err, "listen for datagrams on %s", address)
	}
	return &Socket{conn: conn}, nil
}

// Send sends a datagram to all addresses and returns the first error.
func (s *Socket) Send(news *message.News, addresses []netip.AddrPort) (err error) {
	data, err := proto.Marshal(news)
	if err != nil {
		return merry.Prepend(err, "encode datagram")
	}
	for _, a := range addresses {
		if e := s.write(data, a); e != nil && err == nil {
			err = e
		}
	}
	return err
}

// Addressed is the part of a datagram that only one receiver gets.
type Addressed struct {
	To   netip.AddrPort
	Part *message.News
}

// SendEach sends a datagram with a part of its own to each address, and returns the first error. The part must not set a field
// that the common part sets.
func (s *Socket) SendEach(common *message.News, list []Addressed) (err error) {
	shared, err := proto.Marshal(common)
	if err != nil {
		return merry.Prepend(err, "encode datagram")
	}
	var data []byte
	for _, v := range list {
		// The encoding of a message is that of its fields one after the other, in any order.
		data, err = proto.MarshalOptions{}.MarshalAppend(append(data[:0], shared...), v.Part)
		if err != nil {
			return merry.Prepend(err, "encode datagram")
		}
		if e := s.write(data, v.To); e != nil && err == nil {
			err = e
		}
	}
	return err
}

// write sends an encoded datagram to an address, unless it is not reachable.
func (s *Socket) write(data []byte, to netip.AddrPort) (err error) {
	if s.Reachable != nil && !s.Reachable(to) {
		return nil
	}
	if _, err = s.conn.WriteToUDPAddrPort(data, to); err != nil {
		return merry.Prependf(err, "send datagram to %s", to)
	}
	return nil
}

// Receive calls take with each datagram, or reject if the datagram cannot be decoded, until the context ends. The address is free
// again when it returns.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, news *message.News), reject func(error)) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = s.conn.Close()
	})
	defer func() {
		if stop() {
			_ = s.conn.Close()
			return
		}
		<-closed
	}()
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "receive datagram")
		}
		var news message.News
		if err := proto.Unmarshal(buffer[:n], &news); err != nil {
			reject(merry.Prependf(err, "decode datagram from %s", from))
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &news)
	}
}

// UpdateMesh records the sender of a datagram in a mesh, with what it says as a relay and of the live processes.
// It returns the sender, or nil if the datagram is a duplicate or was overtaken by a newer one of the same process, and
// whether the sender is new, has restarted or was lost.
func UpdateMesh(now time.Time, m *mesh.Mesh, from netip.AddrPort, n *message.News) (p *mesh.Peer, isNew bool) {
	p, isNew = m.Receive(now, mesh.Peer{
		Address: from, Name: n.Name, Centre: n.Centre, Slot: n.Slot, Incarnation: n.Incarnation, Sequence: n.Sequence,
	})
	if p == nil {
		return nil, false
	}
	if n.Relay != nil {
		m.ReceiveRelay(now, p, n.Relay.Settled, n.Relay.Blind)
	}
	switch {
	case len(n.Centres) > 0:
		// Relays answer only the processes of their own data centre.
		m.LearnView(now, p, message.DecodeView(n.Centres, from.Port()), n.Answer != nil)
	case n.Relay != nil:
		m.ConfirmView(now, p, n.Relay.View)
	}
	return p, isNew
}
