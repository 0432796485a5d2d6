package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// fakeSlots answers an entry's attempts at once; some targets refuse them or are unreachable.
type fakeSlots struct {
	core   *Core
	random *rand.Rand
	// unreachable holds the targets that break each connection before a byte was sent.
	unreachable map[string]bool
	// refusing holds the targets that answer "not run".
	refusing map[string]bool
	// attempts counts the attempts, and attemptsByTarget counts them by target.
	attempts         int
	attemptsByTarget map[string]int
	// complete counts the complete answers, and retryAfter holds the retry-after times of the others.
	complete   int
	retryAfter []time.Duration
	// sent numbers the requests.
	sent int
}

var origin = time.Unix(1_000_000, 0)

func newFakeSlots(seed uint64, targets int) *fakeSlots {
	random := rand.New(rand.NewPCG(seed, 3))
	f := &fakeSlots{random: random, unreachable: map[string]bool{}, refusing: map[string]bool{}, attemptsByTarget: map[string]int{}}
	f.core = New(Options{Name: "entry", Centre: "c0", Random: random, HeartbeatInterval: 100 * time.Millisecond})
	c := &configuration.Configuration{
		Revision: 1, Workspaces: []configuration.Workspace{{Name: "school"}},
		Entries: []configuration.Entry{{Name: "entry", Centre: "c0"}},
		Routes:  []configuration.Route{{Name: "desk", Prefix: "/", Pool: "desk", Timeout: configuration.Duration(10 * time.Second)}},
	}
	for i := range targets {
		c.Targets = append(c.Targets, configuration.Target{
			Name: fmt.Sprint("target", i), Centre: fmt.Sprint("c", i%3), Pool: "desk", Width: 8,
			Kind: configuration.KindEngine, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		})
	}
	f.core.Handle(origin, Event{Configuration: c})
	return f
}

// heartbeat sends a serving heartbeat of every target.
func (f *fakeSlots) heartbeat(now time.Time, sequence uint64) {
	for _, t := range f.core.configuration.Targets {
		f.core.Handle(now, Event{Heartbeat: &membership.Heartbeat{
			Target: t.Name, Incarnation: 1, Sequence: sequence, State: membership.StateServing, Width: 8,
		}})
	}
}

// send sends one request and answers its attempts until it ends.
func (f *fakeSlots) send(now time.Time) {
	f.sent++
	id := fmt.Sprint("request", f.sent)
	f.apply(now, f.core.Handle(now, Event{Arrival: &Arrival{ID: id, Workspace: "school", Path: "/x", Body: []byte(id)}}))
}

func (f *fakeSlots) apply(now time.Time, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			f.attempts++
			f.attemptsByTarget[a.Send.Target]++
			f.apply(now, f.core.Handle(now, f.answer(a.Send)))
		case a.Finish != nil && a.Finish.Outcome == call.OutcomeComplete:
			f.complete++
		case a.Finish != nil:
			f.retryAfter = append(f.retryAfter, a.Finish.RetryAfter)
		}
	}
}

func (f *fakeSlots) answer(s *Send) Event {
	if f.unreachable[s.Target] {
		return Event{ConnectionLost: &ConnectionLost{ID: s.Request.ID, Attempt: s.Request.Attempt, Reason: "refused"}}
	}
	k := call.Chunk{ID: s.Request.ID, End: true, Outcome: call.OutcomeComplete, Status: 200}
	if f.refusing[s.Target] {
		k = call.Chunk{ID: s.Request.ID, End: true, Outcome: call.OutcomeNotRun, Reason: "full"}
	}
	return Event{Chunk: &Chunk{Chunk: k, Attempt: s.Request.Attempt}}
}

// sendMany sends n requests at 100 a second, with heartbeats in between.
func (f *fakeSlots) sendMany(from time.Time, n int) (until time.Time) {
	now := from
	for i := range n {
		if i%10 == 0 {
			f.heartbeat(now, uint64(now.UnixNano()))
		}
		f.send(now)
		now = now.Add(10 * time.Millisecond)
	}
	return now
}

func TestAmplificationUnderPartialFailure(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fakeSlots)
		// minComplete is the least share of complete answers in percent.
		minComplete int
	}{
		{"one of twelve refuses", func(f *fakeSlots) { f.refusing["target0"] = true }, 99},
		{"one of twelve is unreachable", func(f *fakeSlots) { f.unreachable["target0"] = true }, 99},
		{"a third refuses", func(f *fakeSlots) {
			for i := range 4 {
				f.refusing[fmt.Sprint("target", i)] = true
			}
		}, 60},
		{"all refuse", func(f *fakeSlots) {
			for i := range 12 {
				f.refusing[fmt.Sprint("target", i)] = true
			}
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				f := newFakeSlots(seed, 12)
				now := f.sendMany(origin, 1000)
				is.Equal(f.complete, 1000)
				f.attempts, f.complete, f.sent = 0, 0, 0
				test.fault(f)
				const requests = 2000
				now = f.sendMany(now.Add(time.Second), requests)
				// The budget may hold retries from earlier successes.
				is.True(f.attempts <= requests*11/10+50)
				is.True(f.complete*100 >= requests*test.minComplete)
				clear(f.unreachable)
				clear(f.refusing)
				f.complete = 0
				f.sendMany(now, 1000)
				is.Equal(f.complete, 1000)
			}
		})
	}
}

func TestRefusedCallersReturnSpread(t *testing.T) {
	is := is.New(t)
	f := newFakeSlots(1, 12)
	for i := range 12 {
		f.refusing[fmt.Sprint("target", i)] = true
	}
	f.sendMany(origin, 3000)
	seconds := map[time.Duration]int{}
	for _, v := range f.retryAfter {
		seconds[v.Truncate(250*time.Millisecond)]++
	}
	is.Equal(len(f.retryAfter), 3000)
	is.True(len(seconds) >= 8)
	for _, n := range seconds {
		is.True(n < 3000/4)
	}
}

// TestLostTargetSpreads checks that the requests of a lost target are spread evenly over the others.
func TestLostTargetSpreads(t *testing.T) {
	is := is.New(t)
	f := newFakeSlots(1, 12)
	now := f.sendMany(origin, 6000)
	f.attemptsByTarget = map[string]int{}
	f.core.Handle(now, Event{Heartbeat: &membership.Heartbeat{
		Target: "target0", Incarnation: 1, Sequence: 1 << 62, State: membership.StateLost, Width: 8,
	}})
	for range 6000 {
		f.send(now)
	}
	near := 0
	for name, n := range f.attemptsByTarget {
		is.True(name != "target0")
		if t, _ := f.core.configuration.Target(name); t.Centre == "c0" {
			near++
			is.True(n > 6000/5 && n < 6000/2)
		}
	}
	is.Equal(near, 3)
}
