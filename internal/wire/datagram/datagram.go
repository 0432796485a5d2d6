// Package datagram carries news between processes: each datagram stands alone, so a lost one needs no repair
// and there is no connection that could go silent.
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

// largest is the largest datagram that UDP over IPv4 carries.
const largest = 65507

// Socket sends and receives news. Send and Receive may be called from different goroutines.
type Socket struct {
	conn *net.UDPConn
}

// Listen opens a Socket.
func Listen(address netip.AddrPort) (s *Socket, err error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, merry.Prependf(err, "datagrams on %s", address)
	}
	return &Socket{conn: conn}, nil
}

// Send sends news to all addresses and returns the first error.
func (s *Socket) Send(news *message.News, addresses []netip.AddrPort) (err error) {
	data, err := proto.Marshal(news)
	if err != nil {
		return merry.Prepend(err, "encode news")
	}
	for _, a := range addresses {
		if _, e := s.conn.WriteToUDPAddrPort(data, a); e != nil && err == nil {
			err = merry.Prependf(e, "send news to %s", a)
		}
	}
	return err
}

// Receive passes each datagram to take until the context ends. Bytes that cannot be read are counted by reject.
func (s *Socket) Receive(ctx context.Context, take func(from netip.AddrPort, news *message.News), reject func(error)) error {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buffer := make([]byte, largest)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "receive news")
		}
		var news message.News
		if err := proto.Unmarshal(buffer[:n], &news); err != nil {
			reject(merry.Prependf(err, "news from %s", from))
			continue
		}
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &news)
	}
}

// Receive takes the sender of news, and the processes that it heard, into a mesh.
// It returns nil for news that are older than others of the same process, and whether the sender is new or has restarted.
func Receive(now time.Time, m *mesh.Mesh, from netip.AddrPort, n *message.News) (p *mesh.Peer, fresh bool) {
	p, fresh = m.Receive(now, mesh.Peer{
		Address: from, Name: n.Name, Centre: n.Centre, Slot: n.Slot, Incarnation: n.Incarnation, Sequence: n.Sequence,
	})
	if p == nil {
		return nil, false
	}
	for _, v := range n.Neighbours {
		// All processes of a site use the same port.
		m.AddRelayed(now, netip.AddrPortFrom(FromNumber(v.Address), from.Port()), v.Slot)
	}
	return p, fresh
}

// Address returns an IPv4 address as a number.
func Address(a netip.Addr) uint32 {
	b := a.Unmap().As4()
	return binary.BigEndian.Uint32(b[:])
}

// FromNumber is the reverse of Address.
func FromNumber(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}
