package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceFilter guards against a pace that varies around a threshold, by which experts would be moved to and fro.
func TestPaceFilter(t *testing.T) {
	is := is.New(t)
	var f PaceFilter
	start := time.Unix(1_700_000_000, 0)
	for _, v := range []struct {
		at           time.Duration
		born         int64
		pace, counts float64
	}{
		{0, 1, 1.05, 1.05},
		{100 * time.Millisecond, 1, 3.1, 3.1},
		{200 * time.Millisecond, 1, 2.8, 3.1},
		{900 * time.Millisecond, 1, 3.2, 3.2},
		{1800 * time.Millisecond, 1, 2.9, 3.2},
		{1901 * time.Millisecond, 1, 1.1, 1.1}, // a second after the last high one
		{2 * time.Second, 1, 12, 12},
		{2100 * time.Millisecond, 2, 1, 1}, // the engine has restarted
		{2200 * time.Millisecond, 2, 12, 12},
		{2300 * time.Millisecond, 2, 0, 0}, // it tells no pace any more
	} {
		is.Equal(f.Add(start.Add(v.at), &Engine{StartUnixMilli: v.born, Pace: v.pace}), v.counts)
	}
}
