package revision

import (
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// watchers is the number of entries of a data centre that watch the service.
	watchers = 2
	// degree is the number of entries that follow one entry.
	degree = 8
	// asked is the number of peers that a starting process asks for its revision.
	asked = 4
	// firstHold and lastHold bound how long a source that failed is passed over; the time doubles with each failure.
	firstHold = time.Second
	lastHold  = 8 * time.Second
	// centreTries is the number of entries of a data centre that fail before the next one is tried.
	centreTries = 2
)

// Plan tells where a process learns of newer values.
type Plan struct {
	// Watch is set when the process reads the service as its task.
	Watch bool
	// Parent is the entry whose changes the process follows, or nil.
	Parent *configuration.Entry
}

// Sources chooses a process's sources. It is not safe for concurrent use.
type Sources struct {
	// name and centre are those of the process.
	name, centre string
	// failed holds the entries that could not be followed last.
	failed map[string]failure
}

// failure is what is known of an entry that could not be followed.
type failure struct {
	// until is the end of the time in which the entry is passed over.
	until time.Time
	// hold is the length of that time.
	hold time.Duration
}

// NewSources returns the Sources of a process.
func NewSources(name, centre string) *Sources {
	return &Sources{name: name, centre: centre, failed: map[string]failure{}}
}

// Fail notes that an entry could not be followed.
func (s *Sources) Fail(now time.Time, entry string) {
	hold := min(max(2*s.failed[entry].hold, firstHold), lastHold)
	s.failed[entry] = failure{until: now.Add(hold), hold: hold}
}

// Clear notes that an entry answered.
func (s *Sources) Clear(entry string) {
	delete(s.failed, entry)
}

// usable reports whether an entry may be tried.
func (s *Sources) usable(now time.Time, entry string) bool {
	return !now.Before(s.failed[entry].until)
}

// Plan returns the present sources. Entries of a data centre form a tree with the watchers at its top;
// watchers follow another data centre; slots follow an entry of their own that no entry follows.
func (s *Sources) Plan(now time.Time, c *configuration.Configuration) Plan {
	if c == nil {
		return Plan{Watch: true}
	}
	own := s.order(now, c, s.centre, s.centre)
	rank := slices.Index(own, s.name)
	switch {
	case rank >= watchers:
		return Plan{Parent: find(c, own[(rank-watchers)/degree])}
	case rank >= 0:
		return Plan{Watch: true, Parent: s.abroad(now, c, rank)}
	case len(own) > 0:
		return Plan{Parent: find(c, s.leaf(now, c, own))}
	}
	return Plan{Watch: s.configured(c), Parent: s.abroad(now, c, 0)}
}

// inner returns the number of a data centre's entries that other entries of it follow.
// Slots follow the rest, so that no entry carries both.
func inner(entries int) int {
	return max(0, (entries-watchers+degree-1)/degree)
}

// leaf returns the entry that a slot follows. The slots of a data centre, in the order of their hashes,
// are dealt out evenly; one whose entry is passed over chooses another by its own hash.
func (s *Sources) leaf(now time.Time, c *configuration.Configuration, usable []string) string {
	var entries, slots []string
	for _, e := range c.Entries {
		if e.Centre == s.centre {
			entries = append(entries, e.Name)
		}
	}
	for _, t := range c.Targets {
		if t.Centre == s.centre {
			slots = append(slots, t.Name)
		}
	}
	if i := slices.Index(rendezvous.Rank(s.centre, slots), s.name); i >= 0 {
		leaves := rendezvous.Rank(s.centre, entries)[inner(len(entries)):]
		if name := leaves[i*len(leaves)/len(slots)]; s.usable(now, name) {
			return name
		}
	}
	return rendezvous.Rank(s.name, usable[inner(len(usable)):])[0]
}

// configured reports whether the process is an entry of the configuration.
func (s *Sources) configured(c *configuration.Configuration) bool {
	return find(c, s.name) != nil
}

// failures returns the number of entries of a data centre that are passed over.
func (s *Sources) failures(now time.Time, c *configuration.Configuration, centre string) (count int) {
	for _, e := range c.Entries {
		if e.Centre == centre && !s.usable(now, e.Name) {
			count++
		}
	}
	return count
}

// order returns the usable entries of a data centre, the process itself included, ranked for a key.
func (s *Sources) order(now time.Time, c *configuration.Configuration, centre, key string) []string {
	var names []string
	for _, e := range c.Entries {
		if e.Centre == centre && (e.Name == s.name || s.usable(now, e.Name)) {
			names = append(names, e.Name)
		}
	}
	return rendezvous.Rank(key, names)
}

// abroad returns an entry of the nearest data centre in a ring that has a usable one;
// the first watcher looks forward and the second one backward.
func (s *Sources) abroad(now time.Time, c *configuration.Configuration, rank int) *configuration.Entry {
	own := slices.IndexFunc(c.Centres, func(v configuration.Centre) bool { return v.Name == s.centre })
	for i := 1; i < len(c.Centres); i++ {
		step := i
		if rank%2 == 1 {
			step = len(c.Centres) - i
		}
		centre := c.Centres[(max(own, 0)+step)%len(c.Centres)].Name
		if s.failures(now, c, centre) >= centreTries {
			continue
		}
		if names := s.order(now, c, centre, centre); len(names) > 0 {
			return find(c, names[rank%2%len(names)])
		}
	}
	return nil
}

func find(c *configuration.Configuration, name string) *configuration.Entry {
	i := slices.IndexFunc(c.Entries, func(e configuration.Entry) bool { return e.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Entries[i]
}

// Peers returns the entries that a starting process asks for a newer revision: half of its own data centre, half of others.
func (s *Sources) Peers(c *configuration.Configuration) []configuration.Entry {
	var near, far []string
	for _, e := range c.Entries {
		switch {
		case e.Name == s.name:
		case e.Centre == s.centre:
			near = append(near, e.Name)
		default:
			far = append(far, e.Name)
		}
	}
	near, far = rendezvous.Rank(s.name, near), rendezvous.Rank(s.name, far)
	half := asked / 2
	names := slices.Concat(near[:min(len(near), half)], far[:min(len(far), half)])
	for _, rest := range slices.Concat(near[min(len(near), half):], far[min(len(far), half):]) {
		if len(names) < asked {
			names = append(names, rest)
		}
	}
	var peers []configuration.Entry
	for _, name := range names {
		peers = append(peers, *find(c, name))
	}
	return peers
}
