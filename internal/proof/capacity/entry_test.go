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

// ticks is the number of ticks of a core in a second.
const ticks = 50

// BenchmarkEntryControl measures a second of an entry without requests: heartbeats, ticks and two exchanges of digests.
func BenchmarkEntryControl(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		before := heap()
		own := newEntry(c, 0)
		partner := newEntry(c, fullCentres)
		now := epoch
		for _, t := range c.Targets {
			h := report(t.Name, 1)
			own.Handle(now, entry.Event{Heartbeat: &h})
		}
		memory := heap() - before
		subset := membership.Watched(c, c.Entries[0].Name, c.Entries[0].Centre, beat, func(string) bool { return false })
		beats := int(time.Second / subset.Beat)
		in, out := 0, 0
		sequence := 1
		for b.Loop() {
			for range beats {
				sequence++
				for _, t := range subset.Targets {
					in += hear(b, own, now, report(t.Name, sequence))
				}
			}
			for range 2 {
				out += tell(b, own, partner, now)
				in += tell(b, partner, own, now)
			}
			for range ticks {
				now = now.Add(time.Second / ticks)
				own.Handle(now, entry.Event{Tick: &entry.Tick{}})
			}
		}
		core(b)
		b.ReportMetric(float64(len(subset.Targets)), "watched")
		b.ReportMetric(float64(in+out)/float64(b.N), "B/s")
		b.ReportMetric(float64(memory)/1e6, "MB")
	})
}

// hear decodes a heartbeat, passes it to a core and returns its size.
func hear(b *testing.B, own *entry.Core, now time.Time, h membership.Heartbeat) int {
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

// tell passes a digest from one core to another and returns its size.
func tell(b *testing.B, from, to *entry.Core, now time.Time) int {
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
	// watched holds the targets that each core hears first-hand.
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
		for _, t := range membership.Watched(c, e.Name, e.Centre, beat, func(string) bool { return false }).Targets {
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

// beat passes each target's heartbeat to the entries that watch it.
func (v *centre) beat(sequence int) {
	for _, name := range v.targets {
		v.deliver(report(name, sequence))
	}
}

func (v *centre) deliver(h membership.Heartbeat) {
	for i, core := range v.cores {
		if v.watched[i][h.Target] {
			core.Handle(v.now, entry.Event{Heartbeat: &h})
		}
	}
}

// exchange lets each entry swap digests with a random other one of the data centre.
func (v *centre) exchange(round int) {
	random := source(round)
	for i, core := range v.cores {
		other := v.cores[(i+1+random.IntN(len(v.cores)-1))%len(v.cores)]
		there, back := core.Digest(v.now), other.Digest(v.now)
		other.Handle(v.now, entry.Event{Digest: &there})
		core.Handle(v.now, entry.Event{Digest: &back})
	}
}

// know counts the cores that know a state of a target.
func (v *centre) know(h membership.Heartbeat) (count int) {
	for _, core := range v.cores {
		for _, t := range core.Status(v.now).Targets {
			if t.Name == h.Target && t.State == h.State {
				count++
			}
		}
	}
	return count
}

// BenchmarkDigestSpread measures how many rounds of exchanges a change of state takes to all entries of a data centre,
// and how old what they know of its targets is after ten minutes.
func BenchmarkDigestSpread(b *testing.B) {
	each(b, func(b *testing.B, c *configuration.Configuration) {
		v := newCentre(c)
		round := 0
		for ; round < 600; round++ {
			v.now = v.now.Add(time.Second)
			v.beat(round + 1)
			v.exchange(round)
		}
		ages := v.ages()
		rounds := 0
		for b.Loop() {
			round++
			h := report(v.targets[round%len(v.targets)], round+1)
			h.State = membership.StateLeaving
			v.deliver(h)
			for v.know(h) < len(v.cores) {
				rounds++
				v.now = v.now.Add(100 * time.Millisecond)
				v.exchange(round + rounds)
			}
		}
		b.ReportMetric(float64(rounds)/float64(b.N), "rounds")
		b.ReportMetric(ages[len(ages)/2].Seconds(), "age-p50-s")
		b.ReportMetric(ages[len(ages)*99/100].Seconds(), "age-p99-s")
	})
}

// ages returns the ages of what all entries know of their data centre's targets, in order.
func (v *centre) ages() (ages []time.Duration) {
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
