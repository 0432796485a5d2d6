package slotd

import (
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// server implements the slot's DRPC service.
type server struct {
	message.DRPCSlotUnimplementedServer
	process *Process
}

// stream queues the chunks of an answer to an entry.
type stream struct {
	mu sync.Mutex
	// chunks are still to be sent; their data aliases the answer's buffer.
	chunks []call.Chunk
	// wake signals new chunks; it buffers one signal.
	wake chan struct{}
}

func newStream() *stream {
	return &stream{wake: make(chan struct{}, 1)}
}

func (s *stream) push(c call.Chunk) {
	s.mu.Lock()
	s.chunks = append(s.chunks, c)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *stream) drain() (chunks []call.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, s.chunks = s.chunks, nil
	return chunks
}

// Serve runs a request, or attaches to a known one, and streams its answer.
func (s *server) Serve(request *message.Request, out message.DRPCSlot_ServeStream) error {
	p := s.process
	r := request.Decode()
	p.logAccepted(&r)
	number, answer := p.openStream()
	defer p.closeStream(r.Identity(), number)
	p.handle(slot.Event{Arrival: &slot.Arrival{Request: r, Stream: number}})
	ping := time.NewTicker(time.Duration(p.Settings.Ping) / 2)
	defer ping.Stop()
	for {
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-ping.C:
			if err := out.Send(&message.Chunk{Id: r.ID}); err != nil {
				return err
			}
		case <-answer.wake:
			for _, c := range answer.drain() {
				if err := out.Send(message.EncodeChunk(&c)); err != nil {
					return err
				}
				if c.End {
					p.recordStreamEnd(&c)
					return nil
				}
				if !c.Ping() {
					p.handle(slot.Event{ChunkSent: &slot.ChunkSent{ID: r.Identity(), Stream: number}})
				}
			}
		}
	}
}

// openStream registers a new stream.
func (p *Process) openStream() (number uint64, s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastStream++
	s = newStream()
	p.streams[p.lastStream] = s
	return p.lastStream, s
}

// closeStream removes a stream and detaches it from its request in the core.
func (p *Process) closeStream(id string, number uint64) {
	p.mu.Lock()
	delete(p.streams, number)
	p.mu.Unlock()
	p.handle(slot.Event{Detach: &slot.Detach{ID: id, Stream: number}})
}
