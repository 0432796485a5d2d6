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

// watchersOf returns the number of entries that watch a target and the heartbeats per second that each expects.
func watchersOf(c *configuration.Configuration, target string) (entries, beats int) {
	for _, e := range c.Entries {
		s := membership.Watched(c, e.Name, e.Centre, heartbeatInterval, func(string) bool { return false })
		if targetNames(s)[target] {
			entries++
			beats = int(time.Second / s.Beat)
		}
	}
	return entries, beats
}

// BenchmarkSlotControl measures one second of an idle slot: heartbeats to its entries, ticks and load reports.
func BenchmarkSlotControl(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		entries, beats := watchersOf(c, c.Targets[0].Name)
		before := liveHeap()
		own := slot.New(slot.Options{Name: c.Targets[0].Name, Random: newRandom(1), Limits: slot.DefaultLimits})
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
			for range int(time.Second / heartbeatInterval) {
				own.Handle(now, slot.Event{Report: &slot.Report{Alive: true}})
			}
			for range ticksPerSecond {
				now = now.Add(time.Second / ticksPerSecond)
				own.Handle(now, slot.Event{Tick: &slot.Tick{}})
			}
		}
		reportCPU(b)
		b.ReportMetric(float64(entries), "entries")
		b.ReportMetric(float64(out)/float64(b.N), "B/s")
		b.ReportMetric(float64(liveHeap()-before)/1e6, "MB")
		runtime.KeepAlive(own)
	})
}
