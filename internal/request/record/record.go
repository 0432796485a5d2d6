// Package record decides what a home does with the keys of non-idempotent calls, in bounded memory.
package record

import (
	"slices"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// Verdict tells what may be done with a key.
type Verdict uint8

// The verdicts on a key.
const (
	// Free means that no record exists, so that the call may be opened.
	Free Verdict = iota
	// Known means that the call was opened with the same body.
	Known
	// Closed means that the call was not run and never will be.
	Closed
	// Mismatch means that the key was opened with another body.
	Mismatch
	// Malformed means that the text is no key.
	Malformed
	// Foreign means that the key belongs to another workspace.
	Foreign
	// Elsewhere means that another target is the key's home.
	Elsewhere
	// Restarted means that an earlier process of this home may have run the call.
	Restarted
	// Expired means that a record of the call may have been dropped.
	Expired
	// Early means that the key was minted further in the future than clocks may differ.
	Early
)

// Record is what is kept of one key.
type Record struct {
	// Key is the parsed key.
	Key key.Key
	// Fingerprint identifies the workspace, route and body that the key was opened with.
	Fingerprint uint64
	// Closed tells that the call was not run; it is never unset.
	Closed bool
}

// Book holds the records of one home. It is not safe for concurrent use.
type Book struct {
	// home and incarnation identify the only process that may run the keys.
	home        string
	incarnation uint64
	// limit is the largest length of records.
	limit int
	// clock is the latest wall time seen; it never falls, so that a dropped record stays expired.
	clock time.Time
	// records holds the unexpired records by the text of their key.
	records map[string]*Record
	// own counts the records by the hash of their workspace.
	own map[uint64]int
	// sealed is set when no key is opened here any more.
	sealed bool
	// seals holds the time until which no key is valid of each home whose records are all kept here.
	seals map[uint64]time.Time
	// floors holds, by the hash of a workspace, the time up to which its unopened keys are closed.
	floors map[uint64]time.Time
}

// Options are the inputs of NewBook.
type Options struct {
	// Home is the name of the target.
	Home string
	// Incarnation is that of the home's process.
	Incarnation uint64
	// Limit is the largest number of records; it is above zero.
	Limit int
}

// NewBook returns an empty Book.
func NewBook(o Options) *Book {
	return &Book{
		home: o.Home, incarnation: o.Incarnation, limit: o.Limit,
		records: map[string]*Record{}, own: map[uint64]int{}, floors: map[uint64]time.Time{}, seals: map[uint64]time.Time{},
	}
}

// Judge returns the verdict on a key that a workspace sends with a fingerprint.
func (b *Book) Judge(now time.Time, text, workspace string, fingerprint uint64) Verdict {
	b.advance(now)
	k, err := key.Parse(text)
	if err != nil {
		return Malformed
	}
	if k.Workspace != key.WorkspaceHash(workspace) {
		return Foreign
	}
	if r := b.records[text]; r != nil && !k.Expired(b.clock) {
		return r.verdict(fingerprint)
	}
	return b.judgeUnknown(k)
}

// verdict returns what a kept record says.
func (r *Record) verdict(fingerprint uint64) Verdict {
	switch {
	case r.Fingerprint != fingerprint:
		return Mismatch
	case r.Closed:
		return Closed
	}
	return Known
}

// judgeUnknown returns the verdict on a key without a record.
func (b *Book) judgeUnknown(k key.Key) Verdict {
	switch {
	case !b.seals[k.Incarnation].IsZero() && !k.Expired(b.clock):
		return Closed
	case k.Home != b.home:
		return Elsewhere
	case k.Incarnation != b.incarnation:
		return Restarted
	case k.Expired(b.clock):
		return Expired
	case k.Early(b.clock):
		return Early
	case b.sealed, !k.Minted.After(b.floors[k.Workspace]):
		return Closed
	}
	return Free
}

// Open makes the record of a free key.
// It reports false, and closes the key, when the workspace holds its share of the memory.
func (b *Book) Open(text string, fingerprint uint64) bool {
	if b.sealed {
		return false
	}
	return b.add(text, fingerprint, false)
}

// Close makes sure that a key that was not run never will be.
func (b *Book) Close(text string, fingerprint uint64) {
	if r := b.records[text]; r != nil {
		r.Closed = true
		return
	}
	b.add(text, fingerprint, true)
}

// Inherit keeps the record of a home that left; it reports false when there is no room.
func (b *Book) Inherit(text string, fingerprint uint64) bool {
	k, err := key.Parse(text)
	if err != nil || k.Home == b.home && k.Incarnation == b.incarnation || !b.room(k.Workspace) {
		return false
	}
	b.keep(text, &Record{Key: k, Fingerprint: fingerprint})
	return true
}

// Seal closes every key that was not opened, for good.
func (b *Book) Seal() {
	b.sealed = true
}

// InheritSeal notes that every record of another home is kept here: its other keys never run.
func (b *Book) InheritSeal(now time.Time, incarnation uint64) {
	b.advance(now)
	b.seals[incarnation] = b.clock.Add(key.Lifetime + 2*key.MaxClockSkew)
}

// Sealed returns the incarnations of other homes of which every record is kept here.
func (b *Book) Sealed(now time.Time) (incarnations []uint64) {
	b.advance(now)
	for incarnation, until := range b.seals {
		if b.clock.Before(until) {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// add keeps a record or, without room, raises the floor of the workspace to close the key.
func (b *Book) add(text string, fingerprint uint64, closed bool) bool {
	k, err := key.Parse(text)
	if err != nil {
		return false
	}
	if !b.room(k.Workspace) {
		b.raise(k)
		return false
	}
	b.keep(text, &Record{Key: k, Fingerprint: fingerprint, Closed: closed})
	return true
}

// keep adds a record.
func (b *Book) keep(text string, r *Record) {
	if b.records[text] == nil {
		b.own[r.Key.Workspace]++
	}
	b.records[text] = r
}

// raise closes a key, and all unopened ones of its workspace that are older.
func (b *Book) raise(k key.Key) {
	if k.Minted.After(b.floors[k.Workspace]) {
		b.floors[k.Workspace] = k.Minted
	}
}

// room reports whether a workspace may keep one more record: no more than are still free.
func (b *Book) room(workspace uint64) bool {
	return b.own[workspace] < b.limit-len(b.records)
}

// advance moves the clock, which never falls.
func (b *Book) advance(now time.Time) {
	if wall := now.Round(0); wall.After(b.clock) {
		b.clock = wall
	}
}

// Expire drops what has expired and returns the dropped keys.
func (b *Book) Expire(now time.Time) (texts []string) {
	b.advance(now)
	for text, r := range b.records {
		if !r.Key.Expired(b.clock) {
			continue
		}
		texts = append(texts, text)
		b.drop(text, r)
	}
	for workspace, floor := range b.floors {
		if (key.Key{Minted: floor}).Expired(b.clock) {
			delete(b.floors, workspace)
		}
	}
	for incarnation, until := range b.seals {
		if !b.clock.Before(until) {
			delete(b.seals, incarnation)
		}
	}
	return texts
}

// drop forgets a record.
func (b *Book) drop(text string, r *Record) {
	delete(b.records, text)
	b.own[r.Key.Workspace]--
	if b.own[r.Key.Workspace] == 0 {
		delete(b.own, r.Key.Workspace)
	}
}

// Record returns the record of a key, or nil.
func (b *Book) Record(text string) *Record {
	return b.records[text]
}

// Size returns the number of records.
func (b *Book) Size() int {
	return len(b.records)
}
