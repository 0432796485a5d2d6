package pair

import (
	"flag"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

var (
	seedFlag  = flag.Uint64("seed", 0, "run only the schedule of this seed")
	countFlag = flag.Uint64("schedules", 30, "number of schedules of each kind of faults")
)

const callersEach = 30

// play runs one schedule and returns its world.
func play(seed uint64, f faults) *world {
	w := newWorld(seed, f)
	for i := range callersEach {
		w.addCaller(i)
	}
	w.disturb()
	w.run(busy + key.Lifetime + 5*time.Minute)
	w.check()
	return w
}

func TestSchedules(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
		// certain tells that no outcome may be unknown.
		certain bool
	}{
		{"none", faults{}, true},
		{"clocks", faults{offset: key.MaxClockSkew / 2}, true},
		{"messages", faults{lose: 0.1, double: 0.2, slow: 0.05}, false},
		{"restarts", faults{restart: 0.05, lose: 0.02}, false},
		{"pauses", faults{pause: 0.1, double: 0.1, slow: 0.05}, false},
		{"cuts", faults{cut: 0.1, slow: 0.05}, false},
		{"crashes", faults{crash: 0.2}, false},
		{"overload", faults{service: 3 * time.Second, crash: 0.05, tight: true}, false},
		{"removal", faults{remove: true, lose: 0.05}, false},
		{"planned stops", faults{leave: 0.05}, true},
		{"planned stops under faults", faults{leave: 0.05, lose: 0.05, double: 0.1, slow: 0.05, pause: 0.05, cut: 0.05, restart: 0.02}, false},
		{"kill and cut", faults{restart: 0.05, cut: 0.1}, false},
		{"all", faults{
			tight: true, service: time.Second, lose: 0.05, double: 0.1, slow: 0.05, crash: 0.05, restart: 0.03, leave: 0.02, pause: 0.05, cut: 0.05, remove: true, offset: key.MaxClockSkew / 2,
		}, false},
	}
	for _, test := range tests {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			counts := map[string]int{}
			keys := 0
			for seed := uint64(1); seed <= *countFlag; seed++ {
				if *seedFlag != 0 {
					seed = *seedFlag
				}
				w := play(seed, test.faults)
				for _, text := range w.broken {
					t.Errorf("seed %d: %s", seed, text)
				}
				for outcome, n := range maps.All(w.counts) {
					counts[outcome] += n
				}
				keys += len(w.runs)
				if t.Failed() || *seedFlag != 0 {
					break
				}
			}
			if test.certain && counts["unknown"] > 0 {
				t.Errorf("%d outcomes are unknown without a fault that explains them", counts["unknown"])
			}
			t.Logf("%d schedules, %d keys executed, callers were told %v", *countFlag, keys, counts)
		})
	}
}
