// Package datagram sends and receives UDP datagrams between processes. Each datagram is complete in itself, so a lost one
// needs no retransmission and there is no connection that could be lost unnoticed.
package datagram

import (
	"context"
	"encoding/binary"
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
		if s.Reachable != nil && !s.Reachable(a) {
			continue
		}
		if _, e := s.conn.WriteToUDPAddrPort(data, a); e != nil && err == nil {
			err = merry.Prependf(e, "send datagram to %s", a)
		}
	}
	return err
}

// Receive calls take with each datagram, or reject if the datagram cannot be decoded, until the context ends.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, news *message.News), reject func(error)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
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

// UpdateMesh updates a mesh with the sender of a datagram and the peers that the sender relays.
// It returns the sender, or nil if the datagram is a duplicate or was overtaken by a newer one of the same process, and
// whether the sender is new, has restarted or was lost.
func UpdateMesh(now time.Time, m *mesh.Mesh, from netip.AddrPort, n *message.News) (p *mesh.Peer, isNew bool) {
	p, isNew = m.Receive(now, mesh.Peer{
		Address: from, Name: n.Name, Centre: n.Centre, Slot: n.Slot, Incarnation: n.Incarnation, Sequence: n.Sequence,
	})
	if p == nil {
		return nil, false
	}
	for _, v := range n.Neighbours {
		// All processes of a site use the same port.
		m.AddRelayed(now, netip.AddrPortFrom(DecodeAddress(v.Address), from.Port()), v.Slot)
	}
	return p, isNew
}

// EncodeAddress returns an IPv4 address as a big-endian number.
func EncodeAddress(a netip.Addr) uint32 {
	b := a.Unmap().As4()
	return binary.BigEndian.Uint32(b[:])
}

// DecodeAddress is the inverse of EncodeAddress.
func DecodeAddress(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
