package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

// BenchmarkAmplification reports attempts per request and complete answers while some of twelve targets refuse.
func BenchmarkAmplification(b *testing.B) {
	const requests = 5000
	for _, refusing := range []int{1, 4, 12} {
		b.Run(fmt.Sprint(refusing), func(b *testing.B) {
			var f *fakeSlots
			for b.Loop() {
				f = newFakeSlots(1, 12)
				now := f.sendMany(origin, 1000)
				f.attempts, f.complete = 0, 0
				for i := range refusing {
					f.refusing[fmt.Sprint("target", i)] = true
				}
				f.sendMany(now.Add(time.Second), requests)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(f.attempts)/requests, "attempts/request")
			b.ReportMetric(100*float64(f.complete)/requests, "whole_%")
		})
	}
}

// BenchmarkLoss reports the largest load of a remaining target over the mean of all of them, and their number.
func BenchmarkLoss(b *testing.B) {
	tests := []struct {
		name string
		lost func(i int) bool
	}{
		{"none", func(int) bool { return false }},
		{"target", func(i int) bool { return i == 0 }},
		{"rack", func(i int) bool { return i == 0 || i == 3 }},
		{"centre", func(i int) bool { return i%3 == 0 }},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			var f *fakeSlots
			for b.Loop() {
				f = newFakeSlots(1, 12)
				f.heartbeat(origin, 1)
				for i := range 12 {
					if test.lost(i) {
						f.core.Handle(origin, Event{Heartbeat: &membership.Heartbeat{
							Target: fmt.Sprint("target", i), Incarnation: 1, Sequence: 2, State: membership.StateLost, Width: 8,
						}})
					}
				}
				for range 6000 {
					f.send(origin)
				}
			}
			most := 0
			for _, n := range f.attemptsByTarget {
				most = max(most, n)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(most)*float64(len(f.attemptsByTarget))/6000, "most/mean")
			b.ReportMetric(float64(len(f.attemptsByTarget)), "targets")
		})
	}
}
