package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

// BenchmarkAmplification reports attempts a request and whole answers while targets of twelve refuse.
func BenchmarkAmplification(b *testing.B) {
	const requests = 5000
	for _, refusing := range []int{1, 4, 12} {
		b.Run(fmt.Sprint(refusing), func(b *testing.B) {
			var f *fakeSlots
			for b.Loop() {
				f = newFakeSlots(1, 12)
				now := f.span(origin, 1000)
				f.attempts, f.whole = 0, 0
				for i := range refusing {
					f.refusing[fmt.Sprint("target", i)] = true
				}
				f.span(now.Add(time.Second), requests)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(f.attempts)/requests, "attempts/request")
			b.ReportMetric(100*float64(f.whole)/requests, "whole_%")
		})
	}
}

// BenchmarkLoss reports the largest share of a target over the mean of those that took over, and how many did.
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
				f.beat(origin, 1)
				for i := range 12 {
					if test.lost(i) {
						f.core.Handle(origin, Event{Heartbeat: &membership.Heartbeat{
							Target: fmt.Sprint("target", i), Incarnation: 1, Sequence: 2, State: membership.StateLost, Width: 8,
						}})
					}
				}
				for range 6000 {
					f.ask(origin)
				}
			}
			most := 0
			for _, n := range f.at {
				most = max(most, n)
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(most)*float64(len(f.at))/6000, "most/mean")
			b.ReportMetric(float64(len(f.at)), "targets")
		})
	}
}
