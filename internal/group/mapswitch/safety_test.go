package mapswitch

import (
	"testing"

	"github.com/matryer/is"
)

func TestEveryInterleaving(t *testing.T) {
	tests := []struct {
		name string
		o    checkOptions
	}{
		{"hold, one leader", checkOptions{hold: true, leaders: 1}},
		{"hold, one leader, one refused load", checkOptions{hold: true, leaders: 1, refusals: 1}},
		{"hold, one leader, one fault", checkOptions{hold: true, leaders: 1, faults: 1}},
		{"hold, one leader, two faults, fenced, delayed orders", checkOptions{hold: true, leaders: 1, faults: 2, fenced: true, delayedOrders: true}},
		{"hold, one leader, one fault, fencing ignored, delayed orders", checkOptions{hold: true, leaders: 1, faults: 1, delayedOrders: true}},
		{"hold, one leader, one rank restarts", checkOptions{hold: true, leaders: 1, faults: 1, victim: 2}},
		{"hold, two leaders", checkOptions{hold: true, leaders: 2}},
		{"hold, two leaders, two faults, one refused load", checkOptions{hold: true, leaders: 2, faults: 2, refusals: 1}},
		{"drain, one leader, one fault", checkOptions{leaders: 1, faults: 1}},
		{"drain, two leaders, two faults", checkOptions{leaders: 2, faults: 2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			test.o.rules, test.o.states, test.o.progress = safeRules, boundStates, 10
			c := newChecker(test.o)
			c.explore()
			is.Equal(c.violation, "")
			is.Equal(c.stuck, "")
			t.Logf("states=%d complete=%t messages=%d", len(c.seen), len(c.seen) < boundStates, len(c.messages))
			c.randomWalks(7, boundPaths, 80)
			is.Equal(c.violation, "")
			is.Equal(c.stuck, "")
		})
	}
}

func TestWeakenedRulesAreCaught(t *testing.T) {
	tests := []struct {
		name   string
		o      checkOptions
		weaken func(*rules)
	}{
		{"a majority commits", checkOptions{hold: true, leaders: 1}, func(r *rules) {
			r.unanimous = func(armed, others int) bool { return armed+1 > (others+1)/2 }
		}},
		{"a promise is forgotten", checkOptions{hold: true, leaders: 1}, func(r *rules) {
			r.promiseForbids = func(Ballot, Ballot) bool { return false }
		}},
		{"an arm message for an earlier process counts", checkOptions{hold: true, leaders: 1, faults: 1, victim: 2}, func(r *rules) {
			r.addressedToOwn = func(uint64, uint64) bool { return true }
		}},
		{"a restarted slot does not read its engine", checkOptions{hold: true, leaders: 1, faults: 1}, func(r *rules) {
			r.readsEngine = func() bool { return false }
		}},
		{"an armed rank gives up alone", checkOptions{hold: true, leaders: 1}, func(r *rules) {
			r.waitsForDecision = func() bool { return false }
		}},
		{"admission opens before all ranks agree", checkOptions{leaders: 1}, func(r *rules) {
			r.allAgree = func(int, int) bool { return true }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			test.o.rules, test.o.states = safeRules, 600000
			test.weaken(&test.o.rules)
			c := newChecker(test.o)
			c.explore()
			t.Logf("states=%d violation=%q", len(c.seen), c.violation)
			is.True(c.violation != "")
		})
	}
}
