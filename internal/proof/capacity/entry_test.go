package capacity

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// ticksPerSecond is the number of ticks of a core per second.
const ticksPerSecond = 50

// BenchmarkEntryControl measures one second of an idle entry: heartbeats, ticks and two exchanges of digests.
func BenchmarkEntryControl(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		before := liveHeap()
		own := newEntry(c, 0)
		partner := newEntry(c, fullCentres)
		now := epoch
		for _, t := range c.Targets {
			h := newHeartbeat(t.Name, 1)
			own.Handle(now, entry.Event{Heartbeat: &h})
		}
		memory := liveHeap() - before
		subset := membership.Watched(c, c.Entries[0].Name, c.Entries[0].Centre, heartbeatInterval, func(string) bool { return false })
		beats := int(time.Second / subset.Beat)
		in, out := 0, 0
		sequence := 1
		for b.Loop() {
			for range beats {
				sequence++
				for _, t := range subset.Targets {
					in += receiveHeartbeat(b, own, now, newHeartbeat(t.Name, sequence))
				}
			}
			for range 2 {
				out += sendDigest(b, own, partner, now)
				in += sendDigest(b, partner, own, now)
			}
			for range ticksPerSecond {
				now = now.Add(time.Second / ticksPerSecond)
				own.Handle(now, entry.Event{Tick: &entry.Tick{}})
			}
		}
		reportCPU(b)
		b.ReportMetric(float64(len(subset.Targets)), "watched")
		b.ReportMetric(float64(in+out)/float64(b.N), "B/s")
		b.ReportMetric(float64(memory)/1e6, "MB")
	})
}

// receiveHeartbeat encodes and decodes a heartbeat, passes it to a core and returns its encoded size.
func receiveHeartbeat(b *testing.B, own *entry.Core, now time.Time, h membership.Heartbeat) int {
	data, err := proto.Marshal(message.EncodeHeartbeat(&h))
	if err != nil {
		b.Fatal(err)
	}
	var m message.Heartbeat
	if err := proto.Unmarshal(data, &m); err != nil {
		b.Fatal(err)
	}
	h = m.Decode()
	own.Handle(now, entry.Event{Heartbeat: &h})
	return len(data)
}

// sendDigest passes a digest from one core to another and returns its encoded size.
func sendDigest(b *testing.B, from, to *entry.Core, now time.Time) int {
	d := from.Digest(now)
	data, err := proto.Marshal(message.EncodeDigest(&d))
	if err != nil {
		b.Fatal(err)
	}
	var m message.Digest
	if err := proto.Unmarshal(data, &m); err != nil {
		b.Fatal(err)
	}
	d = m.Decode()
	to.Handle(now, entry.Event{Digest: &d})
	return len(data)
}

// centre holds the cores of one data centre's entries.
type centre struct {
	configuration *configuration.Configuration
	cores         []*entry.Core
	targets       []string
	// watched holds the targets from which each core receives heartbeats first-hand.
	watched []map[string]bool
	now     time.Time
}

func newCentre(c *configuration.Configuration) *centre {
	v := &centre{configuration: c, now: epoch}
	for i, e := range c.Entries {
		if e.Centre != c.Centres[0].Name {
			continue
		}
		v.cores = append(v.cores, newEntry(c, i))
		watched := map[string]bool{}
		for _, t := range membership.Watched(c, e.Name, e.Centre, heartbeatInterval, func(string) bool { return false }).Targets {
			watched[t.Name] = true
		}
		v.watched = append(v.watched, watched)
	}
	for _, t := range c.Targets {
		if t.Centre == c.Centres[0].Name {
			v.targets = append(v.targets, t.Name)
		}
	}
	return v
}

// sendHeartbeats passes each target's heartbeat to the entries that watch it.
func (v *centre) sendHeartbeats(sequence int) {
	for _, name := range v.targets {
		v.deliver(newHeartbeat(name, sequence))
	}
}

func (v *centre) deliver(h membership.Heartbeat) {
	for i, core := range v.cores {
		if v.watched[i][h.Target] {
			core.Handle(v.now, entry.Event{Heartbeat: &h})
		}
	}
}

// exchangeDigests makes each entry exchange digests with a random other one of the data centre.
func (v *centre) exchangeDigests(round int) {
	random := newRandom(round)
	for i, core := range v.cores {
		other := v.cores[(i+1+random.IntN(len(v.cores)-1))%len(v.cores)]
		ownDigest, otherDigest := core.Digest(v.now), other.Digest(v.now)
		other.Handle(v.now, entry.Event{Digest: &ownDigest})
		core.Handle(v.now, entry.Event{Digest: &otherDigest})
	}
}

// countInformed returns the number of cores that know a target's state.
func (v *centre) countInformed(h membership.Heartbeat) (count int) {
	for _, core := range v.cores {
		for _, t := range core.Status(v.now).Targets {
			if t.Name == h.Target && t.State == h.State {
				count++
			}
		}
	}
	return count
}

// BenchmarkDigestSpread measures how many rounds of exchanges a change of state takes to reach all entries of a data
// centre, and the age of their reports on its targets after ten minutes.
func BenchmarkDigestSpread(b *testing.B) {
	forEachFleetSize(b, func(b *testing.B, c *configuration.Configuration) {
		v := newCentre(c)
		round := 0
		for ; round < 600; round++ {
			v.now = v.now.Add(time.Second)
			v.sendHeartbeats(round + 1)
			v.exchangeDigests(round)
		}
		ages := v.reportAges()
		rounds := 0
		for b.Loop() {
			round++
			h := newHeartbeat(v.targets[round%len(v.targets)], round+1)
			h.State = membership.StateLeaving
			v.deliver(h)
			for v.countInformed(h) < len(v.cores) {
				rounds++
				v.now = v.now.Add(100 * time.Millisecond)
				v.exchangeDigests(round + rounds)
			}
		}
		b.ReportMetric(float64(rounds)/float64(b.N), "rounds")
		b.ReportMetric(ages[len(ages)/2].Seconds(), "age-p50-s")
		b.ReportMetric(ages[len(ages)*99/100].Seconds(), "age-p99-s")
	})
}

// reportAges returns the sorted ages of all entries' reports on their data centre's targets.
func (v *centre) reportAges() (ages []time.Duration) {
	for _, core := range v.cores {
		for _, name := range v.targets {
			age, ok := core.ReportAge(v.now, name)
			if !ok {
				age = time.Hour
			}
			ages = append(ages, age)
		}
	}
	slices.Sort(ages)
	return ages
}
