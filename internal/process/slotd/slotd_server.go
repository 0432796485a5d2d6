package slotd

import (
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// server serves the slot's drpc methods.
type server struct {
	message.DRPCSlotUnimplementedServer
	process *Process
}

// stream is the queue of an answer on its way to an entry.
type stream struct {
	mu sync.Mutex
	// chunks wait to be sent; their data aliases the answer's buffer.
	chunks []call.Chunk
	// wake has room for one signal.
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

func (s *stream) take() (chunks []call.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	chunks, s.chunks = s.chunks, nil
	return chunks
}

// Serve runs a request, or attaches to a known one, and streams its answer.
func (s *server) Serve(request *message.Request, out message.DRPCSlot_ServeStream) error {
	p := s.process
	r := request.Decode()
	p.accepted(&r)
	number, answer := p.open()
	defer p.close(r.Identity(), number)
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
			for _, c := range answer.take() {
				if err := out.Send(message.EncodeChunk(&c)); err != nil {
					return err
				}
				if c.End {
					p.ended(&c)
					return nil
				}
				if !c.Ping() {
					p.handle(slot.Event{ChunkSent: &slot.ChunkSent{ID: r.Identity(), Stream: number}})
				}
			}
		}
	}
}

// open adds a stream.
func (p *Process) open() (number uint64, s *stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.last++
	s = newStream()
	p.streams[p.last] = s
	return p.last, s
}

// close removes a stream and tells the core.
func (p *Process) close(id string, number uint64) {
	p.mu.Lock()
	delete(p.streams, number)
	p.mu.Unlock()
	p.handle(slot.Event{Detach: &slot.Detach{ID: id, Stream: number}})
}
