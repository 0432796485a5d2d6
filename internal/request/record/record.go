// Package record decides whether a home may run a non-idempotent call, from the records of its keys in bounded memory.
package record

import (
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// Verdict is what a home may do with a key.
type Verdict uint8

// The verdicts on a key.
const (
	// Free means that the key has no record and its call may be run.
	Free Verdict = iota
	// Known means that the key was opened with the same fingerprint.
	Known
	// Closed means that the call was not run and never will be.
	Closed
	// Mismatch means that the key was opened with another fingerprint.
	Mismatch
	// Malformed means that the text is not a key.
	Malformed
	// OtherWorkspace means that the key belongs to another workspace.
	OtherWorkspace
	// OtherHome means that another target is the key's home.
	OtherHome
	// Restarted means that an earlier process of this home may have run the call.
	Restarted
	// Expired means that a record of the call may have been dropped.
	Expired
	// FromFuture means that the key was minted further in the future than clocks may differ.
	FromFuture
)

// Record is the record of one key.
type Record struct {
	// Key is the parsed key.
	Key key.Key
	// Fingerprint identifies the workspace, route and body that the key was opened with.
	Fingerprint uint64
	// Closed is set when the call was not run and never will be; it is never cleared.
	Closed bool
}

// Store holds the records of one home in memory. It is not safe for concurrent use.
type Store struct {
	// home and incarnation identify the only process that may run the keys.
	home        string
	incarnation uint64
	// limit is the largest number of records.
	limit int
	// clock is the latest wall time seen; it never goes back, so that the key of a dropped record stays expired.
	clock time.Time
	// records holds the unexpired records by the text of their key.
	records map[string]*Record
	// perWorkspace counts the records by the hash of their workspace.
	perWorkspace map[uint64]int
	// sealed is set when no further key is opened at this home.
	sealed bool
	// inheritedSeals maps the incarnation of each home whose records are all stored here to the time from which every
	// key of that home has expired.
	inheritedSeals map[uint64]time.Time
	// closedUntil holds, by the hash of a workspace, the minting time up to which its unopened keys are closed.
	closedUntil map[uint64]time.Time
}

// Options are the inputs of NewStore.
type Options struct {
	// Home is the name of the target.
	Home string
	// Incarnation identifies the home's process.
	Incarnation uint64
	// Limit is the largest number of records; it is above zero.
	Limit int
}

// NewStore returns an empty Store.
func NewStore(o Options) *Store {
	return &Store{
		home: o.Home, incarnation: o.Incarnation, limit: o.Limit,
		records: map[string]*Record{}, perWorkspace: map[uint64]int{}, closedUntil: map[uint64]time.Time{}, inheritedSeals: map[uint64]time.Time{},
	}
}

// Check returns the verdict on a key that a workspace sends with a fingerprint.
func (s *Store) Check(now time.Time, text, workspace string, fingerprint uint64) Verdict {
	s.advanceClock(now)
	k, err := key.Parse(text)
	if err != nil {
		return Malformed
	}
	if k.Workspace != key.WorkspaceHash(workspace) {
		return OtherWorkspace
	}
	if r := s.records[text]; r != nil && !k.Expired(s.clock) {
		return r.verdict(fingerprint)
	}
	return s.checkNew(k)
}

// verdict returns the verdict of an existing record.
func (r *Record) verdict(fingerprint uint64) Verdict {
	switch {
	case r.Fingerprint != fingerprint:
		return Mismatch
	case r.Closed:
		return Closed
	}
	return Known
}

// checkNew returns the verdict on a key without a record.
func (s *Store) checkNew(k key.Key) Verdict {
	switch {
	case !s.inheritedSeals[k.Incarnation].IsZero() && !k.Expired(s.clock):
		return Closed
	case k.Home != s.home:
		return OtherHome
	case k.Incarnation != s.incarnation:
		return Restarted
	case k.Expired(s.clock):
		return Expired
	case k.FromFuture(s.clock):
		return FromFuture
	case s.sealed, !k.Minted.After(s.closedUntil[k.Workspace]):
		return Closed
	}
	return Free
}

// Open creates the record of a free key. It reports false if the store is sealed. It also reports false,
// and closes the key, if the workspace already uses its share of the memory.
func (s *Store) Open(text string, fingerprint uint64) bool {
	if s.sealed {
		return false
	}
	return s.addOrClose(text, fingerprint, false)
}

// Close ensures that a key that was not run never will be.
func (s *Store) Close(text string, fingerprint uint64) {
	if r := s.records[text]; r != nil {
		r.Closed = true
		return
	}
	s.addOrClose(text, fingerprint, true)
}

// Inherit stores the record of a home that left. It reports false for a bad or own key and if there is no room.
func (s *Store) Inherit(text string, fingerprint uint64) bool {
	k, err := key.Parse(text)
	if err != nil || k.Home == s.home && k.Incarnation == s.incarnation || !s.hasRoom(k.Workspace) {
		return false
	}
	s.store(text, &Record{Key: k, Fingerprint: fingerprint})
	return true
}

// Seal closes every unopened key for good.
func (s *Store) Seal() {
	s.sealed = true
}

// InheritSeal records that every record of another home is stored here: its other keys were not run and never will be.
func (s *Store) InheritSeal(now time.Time, incarnation uint64) {
	s.advanceClock(now)
	s.inheritedSeals[incarnation] = s.clock.Add(key.Lifetime + 2*key.MaxClockSkew)
}

// InheritedSeals returns the incarnations of the other homes whose records are all stored here.
func (s *Store) InheritedSeals(now time.Time) (incarnations []uint64) {
	s.advanceClock(now)
	for incarnation, until := range s.inheritedSeals {
		if s.clock.Before(until) {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// addOrClose stores a record or, without room, closes the key through closedUntil.
func (s *Store) addOrClose(text string, fingerprint uint64, closed bool) bool {
	k, err := key.Parse(text)
	if err != nil {
		return false
	}
	if !s.hasRoom(k.Workspace) {
		s.closeUntil(k)
		return false
	}
	s.store(text, &Record{Key: k, Fingerprint: fingerprint, Closed: closed})
	return true
}

// store adds or replaces a record and counts a new one for its workspace.
func (s *Store) store(text string, r *Record) {
	if s.records[text] == nil {
		s.perWorkspace[r.Key.Workspace]++
	}
	s.records[text] = r
}

// closeUntil closes a key, and all older unopened keys of its workspace.
func (s *Store) closeUntil(k key.Key) {
	if k.Minted.After(s.closedUntil[k.Workspace]) {
		s.closedUntil[k.Workspace] = k.Minted
	}
}

// hasRoom reports whether a workspace may store one more record: it may have no more records than are still free.
func (s *Store) hasRoom(workspace uint64) bool {
	return s.perWorkspace[workspace] < s.limit-len(s.records)
}

// advanceClock moves the clock forward, never back.
func (s *Store) advanceClock(now time.Time) {
	if wall := now.Round(0); wall.After(s.clock) {
		s.clock = wall
	}
}

// Expire drops expired records, seals and closing times, and returns the keys of the dropped records.
func (s *Store) Expire(now time.Time) (texts []string) {
	s.advanceClock(now)
	for text, r := range s.records {
		if !r.Key.Expired(s.clock) {
			continue
		}
		texts = append(texts, text)
		s.remove(text, r)
	}
	for workspace, minted := range s.closedUntil {
		if (key.Key{Minted: minted}).Expired(s.clock) {
			delete(s.closedUntil, workspace)
		}
	}
	for incarnation, until := range s.inheritedSeals {
		if !s.clock.Before(until) {
			delete(s.inheritedSeals, incarnation)
		}
	}
	return texts
}

// remove deletes a record and counts it off for its workspace.
func (s *Store) remove(text string, r *Record) {
	delete(s.records, text)
	s.perWorkspace[r.Key.Workspace]--
	if s.perWorkspace[r.Key.Workspace] == 0 {
		delete(s.perWorkspace, r.Key.Workspace)
	}
}

// Record returns the record of a key, or nil.
func (s *Store) Record(text string) *Record {
	return s.records[text]
}

// Size returns the number of records.
func (s *Store) Size() int {
	return len(s.records)
}
