package slot

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// keyedSlot drives the core of a target with a non-idempotent route.
type keyedSlot struct {
	*Core
	now    time.Time
	stream uint64
}

func newKeyedSlot(t *testing.T, limits Limits) *keyedSlot {
	t.Helper()
	s := &keyedSlot{now: time.Unix(1_700_000_000, 0)}
	s.Core = New(Options{Name: "hold-1", Random: rand.New(rand.NewPCG(1, 1)), Limits: limits})
	s.do(Event{Configuration: &configuration.Configuration{
		Revision: 1, Targets: []configuration.Target{{Name: "hold-1", Pool: "hold", Width: 2}},
		Routes: []configuration.Route{{Name: "hold", Prefix: "/v1/holds", Pool: "hold", Once: true}},
	}})
	s.do(Event{Report: &Report{Alive: true}})
	is.New(t).True(s.Ready())
	return s
}

func (s *keyedSlot) do(e Event) []Action { return s.Handle(s.now, e) }

func (s *keyedSlot) key(number uint64) string {
	return key.Key{
		Home: "hold-1", Incarnation: s.Incarnation(), Minted: s.now, Random: number, Workspace: key.WorkspaceHash("school"),
	}.String()
}

// send delivers a request and returns the last chunk for its stream.
func (s *keyedSlot) send(r call.Request) (c call.Chunk) {
	s.stream++
	r.ID, r.Workspace, r.Remaining = fmt.Sprint("request ", s.stream), "school", time.Second
	if r.Path == "" {
		r.Path = "/v1/holds"
	}
	for _, a := range s.do(Event{Arrival: &Arrival{Request: r, Stream: s.stream}}) {
		if a.Chunk != nil && a.Chunk.Stream == s.stream {
			c = a.Chunk.Chunk
		}
	}
	return c
}

func (s *keyedSlot) complete(id string, data []byte) {
	s.do(Event{Output: &Output{ID: id, Data: data, Status: http.StatusOK}})
	s.do(Event{Result: &Result{ID: id, Outcome: call.OutcomeComplete, Status: http.StatusOK}})
}

func TestRouteNeedsKey(t *testing.T) {
	is := is.New(t)
	s := newKeyedSlot(t, DefaultLimits)
	is.Equal(s.send(call.Request{}).Outcome, call.OutcomeNotRun)
	is.Equal(s.send(call.Request{Path: "/v1/lookups"}).Outcome, call.OutcomeNone)
}

// A request that resumes an answer is never run again: the new bytes would not match those already sent.
func TestResumedAnswerIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	s := newKeyedSlot(t, DefaultLimits)
	is.Equal(s.send(call.Request{Path: "/v1/desk", Offset: 10}).Outcome, call.OutcomeFailed)
	is.Equal(s.send(call.Request{Path: "/v1/desk", Answer: "x"}).Outcome, call.OutcomeUnknown)
	is.Equal(s.Status(s.now).Known, 0)
}

func TestAnswerLargerThanTheBuffer(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits
	limits.MaxAnswerBytes = 100
	s := newKeyedSlot(t, limits)
	text := s.key(1)
	s.send(call.Request{Key: text})
	s.complete(text, make([]byte, 101))
	again := s.send(call.Request{Key: text})
	is.Equal(again.Outcome, call.OutcomeFailed)
	is.True(again.End)
}

// Answers in memory are bounded in total; a request for a dropped one fails and does not run again.
func TestKeptAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits
	limits.MaxTotalAnswerBytes = 1000
	s := newKeyedSlot(t, limits)
	first := s.key(0)
	for i := range uint64(50) {
		text := s.key(i)
		s.send(call.Request{Key: text})
		s.complete(text, make([]byte, 100))
		is.True(s.answerBytes <= limits.MaxTotalAnswerBytes)
	}
	dropped := s.send(call.Request{Key: first})
	is.Equal(dropped.Outcome, call.OutcomeFailed)
	is.Equal(s.running, 0)
	latest := s.send(call.Request{Key: s.key(49)})
	is.Equal(latest.Outcome, call.OutcomeComplete)
}

// A stream that makes no progress is given one chunk, however long the answer grows.
func TestStalledStreamHoldsOneChunk(t *testing.T) {
	is := is.New(t)
	s := newKeyedSlot(t, DefaultLimits)
	text := s.key(1)
	s.send(call.Request{Key: text})
	chunks := 0
	var want, got []byte
	collect := func(actions []Action) {
		for _, a := range actions {
			if a.Chunk != nil {
				chunks++
				got = append(got, a.Chunk.Data...)
			}
		}
	}
	for i := range 1000 {
		data := fmt.Appendf(nil, "token %d ", i)
		want = append(want, data...)
		collect(s.do(Event{Output: &Output{ID: text, Data: data, Status: http.StatusOK}}))
	}
	is.Equal(chunks, 1)
	s.do(Event{Result: &Result{ID: text, Outcome: call.OutcomeComplete}})
	for range 3 {
		collect(s.do(Event{ChunkSent: &ChunkSent{ID: text, Stream: s.stream}}))
	}
	is.True(bytes.Equal(got, want))
}

// Finished jobs, answers and records are dropped once they have expired.
func TestFinishedJobsAreDropped(t *testing.T) {
	is := is.New(t)
	s := newKeyedSlot(t, DefaultLimits)
	for i := range uint64(20) {
		s.send(call.Request{Key: s.key(i)})
		s.complete(s.key(i), []byte("done"))
		s.send(call.Request{Path: "/v1/lookups"})
		s.complete(fmt.Sprint("request ", s.stream), []byte("found"))
	}
	is.Equal(s.Status(s.now).Known, 40)
	for stream := range s.stream {
		for _, id := range []string{s.key(stream / 2), fmt.Sprint("request ", stream+1)} {
			s.do(Event{Detach: &Detach{ID: id, Stream: stream + 1}})
		}
	}
	s.now = s.now.Add(key.Lifetime + 2*key.MaxClockSkew)
	s.do(Event{Tick: &Tick{}})
	s.do(Event{Tick: &Tick{}})
	is.Equal(s.Status(s.now).Known, 0)
	is.Equal(s.answerBytes, 0)
	is.Equal(s.records.Size(), 0)
}
