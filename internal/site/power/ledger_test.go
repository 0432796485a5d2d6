package power

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// testLimits make loans short, so that a schedule contains many of them.
var testLimits = Limits{
	Term: 2 * time.Second, MaxWork: 3 * time.Second, Slack: 200 * time.Millisecond,
	PauseThreshold: 500 * time.Millisecond, ConfigurationDelay: time.Second, LendableFraction: 0.75, RetryInterval: 60 * time.Millisecond,
}

const (
	schedules = 100
	steps     = 1500
	// longestRequestMs is the longest request in milliseconds; some requests are too long for a loan.
	longestRequestMs = 5000
)

// TestCapHolds checks that the site stays under its cap in seeded schedules with lost, duplicated and delayed
// messages, network partitions, paused slots, restarts and lowered shares.
func TestCapHolds(t *testing.T) {
	lent := 0
	for seed := range uint64(schedules) {
		s := newFakeSite(seed, []int64{600, 600, 600, 300}, 8, testLimits)
		s.lost, s.duplicated, s.delayed = s.random.IntN(30), s.random.IntN(30), s.random.IntN(30)
		partition := 0
		s.reachable = func(from, to int) bool { return partition == 0 || (from < 2) == (to < 2) }
		lowered := time.Time{}
		for i := range steps {
			if i == steps/2 && seed%4 == 0 {
				lowered = s.lowerShares()
			}
			s.injectFault(&partition)
			s.step()
			for _, slot := range s.slots {
				if slot.ledger.borrowed(s.now) > 0 {
					lent++
				}
			}
			reactionTime := testLimits.ConfigurationDelay + testLimits.maxDrawTime() + longestRequestMs*time.Millisecond
			if s.now.Sub(lowered) > reactionTime && s.draw() > s.cap {
				t.Fatalf("seed %d at %v: the site draws %d of %d watts", seed, s.now.Sub(time.Unix(0, 0)), s.draw(), s.cap)
			}
		}
	}
	is := is.New(t)
	is.True(lent > schedules) // the schedules must lead to loans
}

// lowerShares lowers each target's share by 100 W, and the cap with them, and returns the time.
func (s *fakeSite) lowerShares() time.Time {
	for _, slot := range s.slots {
		s.cap -= 100
		slot.plan.Share -= 100
		if !slot.paused {
			slot.ledger.Configure(s.now, slot.plan)
		}
	}
	return s.now
}

// injectFault injects at most one fault and sometimes adds a request to a target that changes over time.
// It sets partition to 1 while the network is partitioned.
func (s *fakeSite) injectFault(partition *int) {
	i := s.random.IntN(len(s.slots))
	slot := s.slots[i]
	switch s.random.IntN(300) {
	case 0:
		slot.paused = true
	case 1, 2:
		if slot.paused {
			slot.paused = false
			slot.ledger.Configure(s.now, slot.plan)
		}
	case 3:
		s.restart(i)
	case 4, 5:
		*partition = 1 - *partition
	}
	if i == int(s.now.Unix()/4)%len(s.slots) && len(slot.queue) < 2*slot.width {
		duration := time.Duration(s.random.IntN(longestRequestMs)) * time.Millisecond
		slot.queue = append(slot.queue, testRequest{arrived: s.now, duration: duration, priority: s.random.IntN(3)})
	}
}

// TestLoansAreReturned checks that all loans are returned once faults and demand have ended.
func TestLoansAreReturned(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		s := newFakeSite(seed, []int64{600, 600, 600}, 8, testLimits)
		s.lost = 30
		partition := 0
		for range steps {
			s.injectFault(&partition)
			s.step()
		}
		s.lost = 0
		for _, slot := range s.slots {
			slot.paused, slot.queue = false, nil
		}
		for range int(2 * testLimits.maxDrawTime() / tick) {
			s.step()
		}
		for _, slot := range s.slots {
			is.Equal(slot.ledger.Status(s.now), Status{Share: slot.plan.Share})
		}
	}
}

// TestBorrowerUsesLoan checks that a loaded target borrows power from an idle one and returns it.
func TestBorrowerUsesLoan(t *testing.T) {
	is := is.New(t)
	s := newFakeSite(1, []int64{500, 500}, 8, testLimits)
	for range 200 {
		s.step()
	}
	for range 7 {
		s.slots[0].queue = append(s.slots[0].queue, testRequest{duration: time.Second})
	}
	most := 0
	for range 60 {
		s.step()
		most = max(most, len(s.slots[0].work))
	}
	is.Equal(most, 7) // four within its own share and three under the loan
	for range 100 {
		s.step()
	}
	is.Equal(s.slots[1].ledger.Status(s.now).Lent, int64(0))
}

// TestRestartWaits checks that a restarted lender does not use power that it may have lent.
func TestRestartWaits(t *testing.T) {
	is := is.New(t)
	s := newFakeSite(1, []int64{500, 500}, 8, testLimits)
	s.reachable = func(int, int) bool { return false }
	for range 60 {
		s.step()
	}
	is.Equal(s.slots[0].ledger.Width(s.now, 8), 1)
	for range int(testLimits.maxDrawTime() / tick) {
		s.step()
	}
	is.Equal(s.slots[0].ledger.Width(s.now, 8), 4)
}

// TestRaiseWaits checks that a higher share is used only after all slots have the configuration.
func TestRaiseWaits(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	l := NewLedger(now, Options{Limits: testLimits})
	l.Configure(now, Plan{Share: 500, Idle: 100, Draw: 100})
	now = now.Add(testLimits.maxDrawTime())
	l.Configure(now, Plan{Share: 800, Idle: 100, Draw: 100})
	is.Equal(l.Width(now, 8), 4)
	for range int((testLimits.ConfigurationDelay + testLimits.MaxWork) / tick) {
		now = now.Add(tick)
		l.advance(now)
	}
	is.Equal(l.Width(now, 8), 7)
}
