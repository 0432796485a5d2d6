package revision

import (
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/rendezvous"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// watchersPerCentre is the number of entries of a data centre that watch the service.
	watchersPerCentre = 2
	// maxFollowers is the number of entries that follow one entry.
	maxFollowers = 8
	// startPeers is the number of peers that a starting process asks for a newer revision.
	startPeers = 4
	// minBackoff and maxBackoff bound how long a failed source is skipped; the time doubles with each failure.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// maxCentreFailures is the number of failed entries at which a data centre is skipped for the next one.
	maxCentreFailures = 2
)

// Plan says where a process gets newer values from.
type Plan struct {
	// Watch is set if the process watches the service.
	Watch bool
	// Parent is the entry that the process follows, or nil.
	Parent *configuration.Entry
}

// Sources chooses a process's sources. It is not safe for concurrent use.
type Sources struct {
	// name and centre are the process's own.
	name, centre string
	// failed holds the entries that could not be followed at the latest attempt.
	failed map[string]failure
}

// failure is the backoff of an entry that could not be followed.
type failure struct {
	// until is the time until which the entry is skipped.
	until time.Time
	// backoff is the length of that time.
	backoff time.Duration
}

// NewSources returns the Sources of a process.
func NewSources(name, centre string) *Sources {
	return &Sources{name: name, centre: centre, failed: map[string]failure{}}
}

// Fail records that an entry could not be followed.
func (s *Sources) Fail(now time.Time, entry string) {
	backoff := min(max(2*s.failed[entry].backoff, minBackoff), maxBackoff)
	s.failed[entry] = failure{until: now.Add(backoff), backoff: backoff}
}

// Clear records that an entry answered.
func (s *Sources) Clear(entry string) {
	delete(s.failed, entry)
}

// usable reports whether an entry may be tried.
func (s *Sources) usable(now time.Time, entry string) bool {
	return !now.Before(s.failed[entry].until)
}

// Plan returns the current sources. The entries of a data centre form a tree with the watchers at the root;
// watchers also follow an entry of another data centre; slots follow a leaf of the tree.
func (s *Sources) Plan(now time.Time, c *configuration.Configuration) Plan {
	if c == nil {
		return Plan{Watch: true}
	}
	own := s.usableEntries(now, c, s.centre, s.centre)
	rank := slices.Index(own, s.name)
	switch {
	case rank >= watchersPerCentre:
		return Plan{Parent: findEntry(c, own[(rank-watchersPerCentre)/maxFollowers])}
	case rank >= 0:
		return Plan{Watch: true, Parent: s.remoteParent(now, c, rank)}
	case len(own) > 0:
		return Plan{Parent: findEntry(c, s.chooseLeaf(now, c, own))}
	}
	return Plan{Watch: s.configured(c), Parent: s.remoteParent(now, c, 0)}
}

// innerEntries returns the number of a data centre's entries that other entries follow.
// Slots follow the others, so that no entry serves both.
func innerEntries(entries int) int {
	return max(0, (entries-watchersPerCentre+maxFollowers-1)/maxFollowers)
}

// chooseLeaf returns the entry that a slot follows. The slots of a data centre are spread evenly over the leaves
// in the order of their hashes; a slot whose leaf is skipped chooses another one by its own hash.
func (s *Sources) chooseLeaf(now time.Time, c *configuration.Configuration, usable []string) string {
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
		leaves := rendezvous.Rank(s.centre, entries)[innerEntries(len(entries)):]
		if name := leaves[i*len(leaves)/len(slots)]; s.usable(now, name) {
			return name
		}
	}
	return rendezvous.Rank(s.name, usable[innerEntries(len(usable)):])[0]
}

// configured reports whether the process is an entry of the configuration.
func (s *Sources) configured(c *configuration.Configuration) bool {
	return findEntry(c, s.name) != nil
}

// failures returns the number of entries of a data centre that are skipped.
func (s *Sources) failures(now time.Time, c *configuration.Configuration, centre string) (count int) {
	for _, e := range c.Entries {
		if e.Centre == centre && !s.usable(now, e.Name) {
			count++
		}
	}
	return count
}

// usableEntries returns the usable entries of a data centre, including the process itself, ranked for a key.
func (s *Sources) usableEntries(now time.Time, c *configuration.Configuration, centre, key string) []string {
	var names []string
	for _, e := range c.Entries {
		if e.Centre == centre && (e.Name == s.name || s.usable(now, e.Name)) {
			names = append(names, e.Name)
		}
	}
	return rendezvous.Rank(key, names)
}

// remoteParent returns an entry of the nearest data centre that has a usable one. The data centres form a ring;
// the first watcher searches it forwards and the second one backwards.
func (s *Sources) remoteParent(now time.Time, c *configuration.Configuration, rank int) *configuration.Entry {
	own := slices.IndexFunc(c.Centres, func(v configuration.Centre) bool { return v.Name == s.centre })
	for i := 1; i < len(c.Centres); i++ {
		step := i
		if rank%2 == 1 {
			step = len(c.Centres) - i
		}
		centre := c.Centres[(max(own, 0)+step)%len(c.Centres)].Name
		if s.failures(now, c, centre) >= maxCentreFailures {
			continue
		}
		if names := s.usableEntries(now, c, centre, centre); len(names) > 0 {
			return findEntry(c, names[rank%2%len(names)])
		}
	}
	return nil
}

func findEntry(c *configuration.Configuration, name string) *configuration.Entry {
	i := slices.IndexFunc(c.Entries, func(e configuration.Entry) bool { return e.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Entries[i]
}

// Peers returns the entries that a starting process asks for a newer revision, half of them in its own data centre
// if there are enough on both sides.
func (s *Sources) Peers(c *configuration.Configuration) []configuration.Entry {
	var local, remote []string
	for _, e := range c.Entries {
		switch {
		case e.Name == s.name:
		case e.Centre == s.centre:
			local = append(local, e.Name)
		default:
			remote = append(remote, e.Name)
		}
	}
	local, remote = rendezvous.Rank(s.name, local), rendezvous.Rank(s.name, remote)
	half := startPeers / 2
	names := slices.Concat(local[:min(len(local), half)], remote[:min(len(remote), half)])
	for _, rest := range slices.Concat(local[min(len(local), half):], remote[min(len(remote), half):]) {
		if len(names) < startPeers {
			names = append(names, rest)
		}
	}
	var peers []configuration.Entry
	for _, name := range names {
		peers = append(peers, *findEntry(c, name))
	}
	return peers
}
