package capacity

import (
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// watchersOf returns the number of entries that watch a target and the heartbeats that each wants in a second.
func watchersOf(c *configuration.Configuration, target string) (entries, beats int) {
	for _, e := range c.Entries {
		s := membership.Watched(c, e.Name, e.Centre, beat, func(string) bool { return false })
		if names(s)[target] {
			entries++
			beats = int(time.Second / s.Beat)
		}
	}
	return entries, beats
}

// BenchmarkSlotControl measures a second of a slot without requests: heartbeats to its entries, ticks and load reports.
func BenchmarkSlotControl(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		entries, beats := watchersOf(c, c.Targets[0].Name)
		before := heap()
		own := slot.New(slot.Options{Name: c.Targets[0].Name, Random: source(1), Limits: slot.DefaultLimits})
		own.Handle(epoch, slot.Event{Configuration: c})
		now := epoch
		out := 0
		for b.Loop() {
			for range entries * beats {
				h := own.NextHeartbeat(now)
				data, err := proto.Marshal(message.EncodeHeartbeat(&h))
				if err != nil {
					b.Fatal(err)
				}
				out += len(data)
			}
			for range int(time.Second / beat) {
				own.Handle(now, slot.Event{Report: &slot.Report{Alive: true}})
			}
			for range ticks {
				now = now.Add(time.Second / ticks)
				own.Handle(now, slot.Event{Tick: &slot.Tick{}})
			}
		}
		core(b)
		b.ReportMetric(float64(entries), "entries")
		b.ReportMetric(float64(out)/float64(b.N), "B/s")
		b.ReportMetric(float64(heap()-before)/1e6, "MB")
		runtime.KeepAlive(own)
	})
}
