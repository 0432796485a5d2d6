package power

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testLedger is a ledger with one peer, whose messages the test writes.
type testLedger struct {
	*Ledger
	now time.Time
}

// newTestLedger returns a ledger after its recovery, with a share for four requests.
func newTestLedger() *testLedger {
	b := &testLedger{now: time.Unix(0, 0)}
	b.Ledger = NewLedger(b.now, Options{Limits: testLimits, Random: rand.New(rand.NewPCG(1, 1))})
	b.Configure(b.now, Plan{Share: 500, Idle: 100, Draw: 100, Peers: []string{"peer"}})
	b.wait(testLimits.maxDrawTime())
	return b
}

// wait advances the clock in steps too short to count as a pause.
func (b *testLedger) wait(d time.Duration) {
	end := b.now.Add(d)
	for b.now.Before(end) {
		b.now = b.now.Add(tick)
		b.advance(b.now)
	}
}

// ask makes the ledger ask for the power of one more request and returns the ask.
func (b *testLedger) ask() Message {
	for _, s := range b.Tick(b.now, Load{Running: 4, Queued: 1}) {
		if s.Message.Kind == KindAsk {
			return s.Message
		}
	}
	return Message{}
}

// grant answers an ask.
func (b *testLedger) grant(m Message) {
	m.Kind = KindGrant
	b.Receive(b.now, "peer", 1, m, Load{})
}

func TestLoanBoundsWork(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	b.grant(b.ask())
	is.True(b.Admit(b.now, 4, testLimits.MaxWork))
	is.True(!b.Admit(b.now, 4, testLimits.MaxWork+1))
	is.True(b.Admit(b.now, 3, 10*testLimits.MaxWork)) // within its own share
	b.wait(testLimits.Term)
	is.True(!b.Admit(b.now, 4, time.Millisecond))
}

func TestGrantOfOlderAskIsVoid(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	first := b.ask()
	b.grant(first)
	b.wait(testLimits.Term * 3 / 4)
	second := b.ask()
	is.Equal(second.ID, first.ID)
	is.True(second.Sequence > first.Sequence)
	b.grant(first)
	b.wait(testLimits.Term / 2)
	is.True(!b.Admit(b.now, 4, 0)) // the term of the first ask is over
}

func TestNoWorkAfterPause(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	is.True(b.Admit(b.now, 0, 0))
	b.now = b.now.Add(testLimits.PauseThreshold + 1)
	is.True(!b.Admit(b.now, 0, 0))
	b.wait(testLimits.ConfigurationDelay)
	is.True(b.Admit(b.now, 0, 0))
}

func TestHelloVoidsEarlierGrants(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	held := b.ask()
	b.grant(held)
	b.wait(testLimits.RetryInterval)
	pending := b.Tick(b.now, Load{Running: 5, Queued: 1})[0].Message
	answer := b.Receive(b.now, "peer", 2, Message{Kind: KindHello}, Load{Running: 5})
	is.Equal(answer[0].Message.Kind, KindAccount)
	is.Equal(answer[0].Message.Watts, held.Watts)
	is.True(!b.Admit(b.now, 4, 0)) // no more work starts under the held loan
	b.grant(pending)
	is.True(!b.Admit(b.now, 4, 0)) // the pending ask is dropped
}

func TestRestartedBorrowerDoesNotGuess(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger(now, Options{Limits: testLimits})
	l.Configure(now, Plan{Share: 500, Idle: 100, Draw: 100, Peers: []string{"peer"}})
	hello := Message{Kind: KindHello}
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{})), 0) // the engine has not reported yet
	now = now.Add(testLimits.PauseThreshold)
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{Running: 3})), 0) // an earlier process may have borrowed
	is.Equal(len(l.Receive(now, "peer", 1, hello, Load{Running: 1})), 1)
}

func TestLoansReturnInOrder(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	shorter := &loan{id: 1, peer: "peer", state: loanHeld, watts: 100, until: b.now.Add(time.Second)}
	longer := &loan{id: 2, peer: "peer", state: loanHeld, watts: 100, until: b.now.Add(2 * time.Second)}
	b.loans[1], b.loans[2] = shorter, longer
	b.returnUnneeded(b.now, longer, Load{Running: 5})
	is.Equal(longer.state, loanHeld) // work may run longer than the other loan allows
	b.returnUnneeded(b.now, shorter, Load{Running: 5})
	is.Equal(shorter.state, loanReturned)
}

func TestBorrowerDoesNotLend(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	ask := Message{Kind: KindAsk, ID: 7, Sequence: 1, Watts: 100, Term: testLimits.Term, Work: testLimits.MaxWork}
	b.grant(b.ask())
	is.Equal(b.Receive(b.now, "peer", 1, ask, Load{})[0].Message.Kind, KindDeny)
}

func TestReturnedLoanStaysClosed(t *testing.T) {
	is := is.New(t)
	b := newTestLedger()
	ask := Message{Kind: KindAsk, ID: 7, Sequence: 1, Watts: 100, Term: testLimits.Term, Work: testLimits.MaxWork}
	is.Equal(b.Receive(b.now, "peer", 1, ask, Load{})[0].Message.Kind, KindGrant)
	is.Equal(b.Status(b.now).Lent, int64(100))
	b.Receive(b.now, "peer", 1, Message{Kind: KindReturn, ID: 7}, Load{})
	is.Equal(len(b.Receive(b.now, "peer", 1, ask, Load{})), 0) // a delayed duplicate of the ask
	is.Equal(b.Status(b.now).Lent, int64(0))
}
