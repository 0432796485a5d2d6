package limit

import (
	"maps"
	"slices"
	"time"
)

const (
	// discoveryTime is the time after its start in which an entry issues no permits for cold targets: it does not know its peers yet.
	discoveryTime = 1500 * time.Millisecond
	// handoverTime is the time from a change of the live entries until all of them know of it. Until then an entry that has become
	// the owner of a rate counts as its deputy.
	handoverTime = time.Second
	// knownTime is the time for which the largest number of live entries is remembered. Entries that were removed for good count as
	// cut off for that time.
	knownTime = 5 * time.Minute
	// fractionMargin raises the fraction of an entry that misses peers, so that the loss of a tenth of the entries costs nothing. The
	// parts of a partition together issue at most so much more than the rate.
	fractionMargin = 1.1
	// minFraction is the part of the known entries below which an entry issues no permits: each part of a partition may have one
	// permit at hand, so the number of parts that issue any must be small.
	minFraction = 0.25
	// maxSilent is the number of requests for permits in a row that an owner may leave unanswered before another entry is asked, and
	// silentTime how long that entry is asked.
	maxSilent  = 2
	silentTime = 1500 * time.Millisecond
	// maxOwners is the number of keys whose owners are cached.
	maxOwners = 4096
)

// Roster is an entry's knowledge of the live entries, which decides who issues the permits of cold targets. It is not safe for
// concurrent use.
//
// The load that it answers: entries that have just started, were frozen or are cut off from each other would each take themselves
// for the owner of the whole rate.
type Roster struct {
	own string
	// alone is set if the entry has been told of no other by its settings.
	alone bool
	// startedAt is the time of the start, and resumedAt of the start or of the end of the latest pause.
	startedAt, resumedAt time.Time
	// live holds the live entries with this one, and left those that are no longer among them with the time since when.
	live []string
	left map[string]time.Time
	// owners caches the owners among live by key, which cost a hash of each entry.
	owners map[string]string
	// met is set once another entry was live.
	met bool
	// known is the largest number of live entries within knownTime, as of knownAt.
	known   int
	knownAt time.Time
	// lowest holds the smallest numbers of live entries in this and in the previous period of handoverTime; this one began at lowAt.
	lowest [2]int
	lowAt  time.Time
	// silent holds the entries that left requests for permits unanswered.
	silent map[string]silence
}

// silence is what is known of an entry that left requests for permits unanswered.
type silence struct {
	// count is the number of these requests in a row; the entry is not asked before until.
	count int
	until time.Time
}

// NewRoster returns the Roster of an entry that has just started. It is alone if its settings name no other entry.
func NewRoster(now time.Time, own string, alone bool) *Roster {
	return &Roster{
		own: own, alone: alone, startedAt: now, resumedAt: now, live: []string{own}, left: map[string]time.Time{}, owners: map[string]string{},
		lowest: [2]int{1, 1}, lowAt: now, silent: map[string]silence{},
	}
}

// Observe records the live entries, which contain this one, in the same order at each call.
func (r *Roster) Observe(now time.Time, live []string) {
	if now.Sub(r.lowAt) >= handoverTime {
		r.lowest, r.lowAt = [2]int{len(live), r.lowest[0]}, now
	}
	r.lowest[0] = min(r.lowest[0], len(live))
	r.Learn(len(live), now)
	if now.Sub(r.knownAt) > knownTime {
		r.known, r.knownAt = len(live), now
	}
	r.met = r.met || len(live) > 1
	maps.DeleteFunc(r.left, func(_ string, at time.Time) bool { return now.Sub(at) > handoverTime })
	maps.DeleteFunc(r.silent, func(_ string, s silence) bool { return now.Sub(s.until) > silentTime })
	if slices.Equal(live, r.live) {
		return
	}
	present := make(map[string]bool, len(live))
	for _, name := range live {
		present[name] = true
		delete(r.left, name)
	}
	for _, name := range r.live {
		if !present[name] {
			r.left[name] = now
		}
	}
	r.live = slices.Clone(live)
	clear(r.owners)
}

// owner returns the owner among the live entries of the rate with a key.
func (r *Roster) owner(key string) string {
	owner, ok := r.owners[key]
	if !ok {
		if len(r.owners) >= maxOwners {
			clear(r.owners)
		}
		owner = Owner(key, r.live)
		r.owners[key] = owner
	}
	return owner
}

// Learn records that a number of entries were live at a time, as a peer knows it.
func (r *Roster) Learn(entries int, at time.Time) {
	if entries > r.known || entries == r.known && at.After(r.knownAt) {
		r.known, r.knownAt = entries, at
	}
}

// Known returns the largest number of live entries of late and the time at which they were.
func (r *Roster) Known() (entries int, at time.Time) {
	return r.known, r.knownAt
}

// Entries returns the number of entries among which what they may do together is divided: the largest number that were live of late,
// since those that are missed may be cut off, and those that have ended may have done their part. It is zero while this entry does
// not know its peers.
func (r *Roster) Entries(now time.Time) int {
	if !r.alone && !r.MayIssue(now) {
		return 0
	}
	return max(r.known, len(r.live))
}

// Resume records that this entry was paused and may have missed anything.
func (r *Roster) Resume(now time.Time) {
	r.resumedAt = now
}

// Owner returns the entry to ask for permits with a key: the owner, or its deputy while the owner does not answer.
func (r *Roster) Owner(now time.Time, key string) string {
	if len(r.silent) == 0 {
		return r.owner(key)
	}
	var candidates []string
	for _, name := range r.live {
		if name == r.own || !now.Before(r.silent[name].until) {
			candidates = append(candidates, name)
		}
	}
	return Owner(key, candidates)
}

// NoteAnswer records that an entry has answered a request for permits, or left it unanswered.
func (r *Roster) NoteAnswer(now time.Time, name string, answered bool) {
	if answered {
		delete(r.silent, name)
		return
	}
	s := r.silent[name]
	s.count++
	s.until = now
	if s.count >= maxSilent {
		s = silence{until: now.Add(silentTime)}
	}
	r.silent[name] = s
}

// MayIssue reports whether the entry knows its peers well enough to answer requests for permits. One that does not is silent, so
// that others are asked.
func (r *Roster) MayIssue(now time.Time) bool {
	return now.Sub(r.startedAt) >= discoveryTime && (r.alone || r.met)
}

// Standing returns this entry's standing for the rate with a key.
func (r *Roster) Standing(now time.Time, key string) Standing {
	s := Standing{Entries: len(r.live), Fraction: r.fraction(now)}
	if s.Fraction == 0 {
		s.Wait = max(discoveryTime-now.Sub(r.startedAt), handoverTime/2)
		return s
	}
	s.Established = now.Sub(r.resumedAt) >= handoverTime && r.owner(key) == r.own && (len(r.left) == 0 || !r.follows(key))
	return s
}

// follows reports whether an entry that has left of late owned the rate with a key rather than this one.
func (r *Roster) follows(key string) bool {
	return Owner(key, append(slices.Collect(maps.Keys(r.left)), r.own)) != r.own
}

// fraction returns the part of a rate that this entry may issue.
func (r *Roster) fraction(now time.Time) float64 {
	if !r.MayIssue(now) {
		return 0
	}
	heard := float64(min(r.lowest[0], r.lowest[1], len(r.live))) / float64(max(r.known, 1))
	if heard < minFraction {
		return 0
	}
	return min(fractionMargin*heard, 1)
}
