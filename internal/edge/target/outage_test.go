package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestOutage plays reads of the store, some tenths of a second apart, and checks how long a target stays whose record is missing from the
// tenth second on.
func TestOutage(t *testing.T) {
	const interval, removedAt, end = 100 * time.Millisecond, 10 * time.Second, 30 * time.Second
	never := func(time.Duration) bool { return false }
	during := func(from, to time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at >= from && at < to }
	}
	each := func(period, length time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at%period < length }
	}
	tests := []struct {
		name      string
		fails     func(at time.Duration) bool
		withdrawn bool
		// least and most bound the time from the removal of the record until the target is removed.
		least, most time.Duration
	}{
		{"no failure", never, false, 0, 0},
		{"one failed read", during(10*time.Second, 10100*time.Millisecond), false, 0, interval},
		{"too short for records to lapse", during(9*time.Second, 11*time.Second), false, 0, time.Second},
		{"an outage", during(7*time.Second, 10*time.Second), false, outageGrace, outageGrace},
		{"an outage, withdrawn after it", during(6*time.Second, 9500*time.Millisecond), true, 0, 0},
		{"one failed read each 0.3 s", each(300*time.Millisecond, interval), false, 0, interval},
		{"one failed read each second", each(time.Second, interval), false, 0, interval},
		{"one failed read each two seconds", each(2*time.Second, interval), false, 0, interval},
		// The store can be read for half a second of each three. The first list without the target comes 2.5 s after the removal or sooner.
		{"outages that follow one another", each(3*time.Second, 2500*time.Millisecond), false, outageGrace, 2500*time.Millisecond + 4*3*time.Second},
		{"failed reads after an outage", func(at time.Duration) bool {
			return during(7*time.Second, 10*time.Second)(at) || each(time.Second, interval)(at)
		}, false, outageGrace, outageGrace + 2*interval},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			r.MinOutage = 2400 * time.Millisecond
			one, two := testTarget("1", 1, false), testTarget("2", 1, false)
			stayed := end
			for at := time.Duration(0); at < end; at += interval {
				now := start.Add(at)
				if v.fails(at) {
					r.MarkStoreLost(now)
					continue
				}
				list := []site.Target{one, two}
				if at >= removedAt {
					list = list[:1]
				}
				if v.withdrawn && at == removedAt {
					r.Withdraw(now, "2")
				}
				r.Apply(now, list)
				if r.Available("holds") == 1 {
					stayed = at - removedAt
					break
				}
			}
			is.True(stayed >= v.least && stayed <= v.most) // stayed
			t.Log(fmt.Sprint("removed after ", stayed))
		})
	}
}

// TestLostWatchesAreNoOutage plays full reads that follow watches without an answer. They keep a missing target for no longer than an
// outage does, even where the store does not answer for so long that records may have lapsed meanwhile.
func TestLostWatchesAreNoOutage(t *testing.T) {
	for _, v := range []struct {
		name           string
		interval, most time.Duration
	}{
		{"shorter than the least outage", time.Second, 0},
		{"as long as the least outage", 1200 * time.Millisecond, outageGrace + 1200*time.Millisecond},
		{"longer", 3 * time.Second, outageGrace + 3*time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			r := NewRegistry()
			r.MinOutage = 1200 * time.Millisecond
			one, two := testTarget("1", 1, false), testTarget("2", 1, false)
			now := start
			r.Apply(now, []site.Target{one, two})
			for stayed := time.Duration(0); ; stayed += v.interval {
				now = now.Add(v.interval)
				r.MarkWatchLost()
				r.Apply(now, []site.Target{one})
				if r.Available("holds") == 1 {
					is.True(stayed <= v.most) // stayed
					break
				}
				is.True(stayed < time.Minute)
			}
		})
	}
}
