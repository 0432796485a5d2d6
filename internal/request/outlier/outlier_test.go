package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestVerdict(t *testing.T) {
	// counts are attempts and failures.
	type counts struct{ attempts, failures int }
	tests := []struct {
		name      string
		own, rest counts
		after     time.Duration
		want      Verdict
	}{
		{"no samples", counts{}, counts{}, 0, TooFewSamples},
		{"too few samples", counts{3, 3}, counts{100, 0}, 0, TooFewSamples},
		{"too few samples of the peers", counts{100, 100}, counts{3, 0}, 0, TooFewSamples},
		{"normal", counts{20, 1}, counts{100, 0}, 0, Normal},
		{"failing", counts{20, 10}, counts{100, 2}, 0, Failing},
		{"a shared outage", counts{20, 20}, counts{100, 95}, 0, Normal},
		{"decayed", counts{20, 20}, counts{100, 0}, 10 * time.Second, TooFewSamples},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker()
			now := time.Unix(0, 0)
			for i := range test.own.attempts {
				tracker.Record(now, "own", i < test.own.failures)
			}
			for i := range test.rest.attempts {
				tracker.Record(now, "other", i < test.rest.failures)
			}
			is.Equal(tracker.Snapshot(now.Add(test.after)).Verdict("own"), test.want)
		})
	}
}
