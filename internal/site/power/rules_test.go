package power

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bench is a ledger with one peer whose messages the test writes itself.
type bench struct {
	*Ledger
	now time.Time
}

// newBench returns a ledger that has no recovery before it, with a share for four requests.
func newBench() *bench {
	b := &bench{now: time.Unix(0, 0)}
	b.Ledger = NewLedger(b.now, Options{Limits: testLimits, Random: rand.New(rand.NewPCG(1, 1))})
	b.Configure(b.now, Plan{Share: 500, Idle: 100, Draw: 100, Peers: []string{"peer"}})
	b.pass(testLimits.horizon())
	return b
}

// pass lets time pass in steps too short to count as a pause.
func (b *bench) pass(d time.Duration) {
	end := b.now.Add(d)
	for b.now.Before(end) {
		b.now = b.now.Add(tick)
		b.advance(b.now)
	}
}

// ask lets the ledger ask for one more request's power and returns the ask.
func (b *bench) ask() Message {
	for _, s := range b.Tick(b.now, Load{Running: 4, Queued: 1}) {
		if s.Message.Kind == KindAsk {
			return s.Message
		}
	}
	return Message{}
}

// grant answers an ask.
func (b *bench) grant(m Message) {
	m.Kind = KindGrant
	b.Receive(b.now, "peer", 1, m, Load{})
}

func TestLoanBoundsWork(t *testing.T) {
	is := is.New(t)
	b := newBench()
	b.grant(b.ask())
	is.True(b.Admit(b.now, 4, testLimits.Work))
	is.True(!b.Admit(b.now, 4, testLimits.Work+1))
	is.True(b.Admit(b.now, 3, 10*testLimits.Work)) // under the own share
	b.pass(testLimits.Term)
	is.True(!b.Admit(b.now, 4, time.Millisecond))
}

func TestGrantOfOlderAskIsVoid(t *testing.T) {
	is := is.New(t)
	b := newBench()
	first := b.ask()
	b.grant(first)
	b.pass(testLimits.Term * 3 / 4)
	second := b.ask()
	is.Equal(second.ID, first.ID)
	is.True(second.Sequence > first.Sequence)
	b.grant(first)
	b.pass(testLimits.Term / 2)
	is.True(!b.Admit(b.now, 4, 0)) // the term of the first ask is over
}

func TestNoWorkAfterPause(t *testing.T) {
	is := is.New(t)
	b := newBench()
	is.True(b.Admit(b.now, 0, 0))
	b.now = b.now.Add(testLimits.Pause + 1)
	is.True(!b.Admit(b.now, 0, 0))
	b.pass(testLimits.Hold)
	is.True(b.Admit(b.now, 0, 0))
}

func TestHelloVoidsEarlierGrants(t *testing.T) {
	is := is.New(t)
	b := newBench()
	held := b.ask()
	b.grant(held)
	b.pass(testLimits.Retry)
	open := b.Tick(b.now, Load{Running: 5, Queued: 1})[0].Message
	answer := b.Receive(b.now, "peer", 2, Message{Kind: KindHello}, Load{Running: 5})
	is.Equal(answer[0].Message.Kind, KindAccount)
	is.Equal(answer[0].Message.Watts, held.Watts)
	is.True(!b.Admit(b.now, 4, 0)) // the held loan starts no more work
	b.grant(open)
	is.True(!b.Admit(b.now, 4, 0)) // the open ask is void
}

func TestRestartedBorrowerDoesNotGuess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger(now, Options{Limits: testLimits})
	l.Configure(now, Plan{Share: 500, Idle: 100, Draw: 100, Peers: []string{"peer"}})
	hello := Message{Kind: KindHello}
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{})), 0) // no report yet
	now = now.Add(testLimits.Pause)
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{Running: 3})), 0) // an earlier process may have borrowed
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{Running: 1})), 1)
}

func TestLoansReturnInOrder(t *testing.T) {
	is := is.New(t)
	b := newBench()
	early := &loan{id: 1, peer: "peer", state: loanHeld, watts: 100, until: b.now.Add(time.Second)}
	late := &loan{id: 2, peer: "peer", state: loanHeld, watts: 100, until: b.now.Add(2 * time.Second)}
	b.loans[1], b.loans[2] = early, late
	b.release(b.now, late, Load{Running: 5})
	is.Equal(late.state, loanHeld) // work may last longer than the other loan covers
	b.release(b.now, early, Load{Running: 5})
	is.Equal(early.state, loanReturned)
}

func TestBorrowerDoesNotLend(t *testing.T) {
	is := is.New(t)
	b := newBench()
	ask := Message{Kind: KindAsk, ID: 7, Sequence: 1, Watts: 100, Term: testLimits.Term, Work: testLimits.Work}
	b.grant(b.ask())
	is.Equal(b.Receive(b.now, "peer", 1, ask, Load{})[0].Message.Kind, KindDeny)
}

func TestReturnedLoanStaysClosed(t *testing.T) {
	is := is.New(t)
	b := newBench()
	ask := Message{Kind: KindAsk, ID: 7, Sequence: 1, Watts: 100, Term: testLimits.Term, Work: testLimits.Work}
	is.Equal(b.Receive(b.now, "peer", 1, ask, Load{})[0].Message.Kind, KindGrant)
	is.Equal(b.Status(b.now).Lent, int64(100))
	b.Receive(b.now, "peer", 1, Message{Kind: KindReturn, ID: 7}, Load{})
	is.Equal(len(b.Receive(b.now, "peer", 1, ask, Load{})), 0) // a late copy of the ask
	is.Equal(b.Status(b.now).Lent, int64(0))
}
