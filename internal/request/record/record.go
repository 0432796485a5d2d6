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
	// Known means that the call was opened with the same body.
	Known
	// Closed means that the call was not run and never will be.
	Closed
	// Mismatch means that the key was opened with another body.
	Mismatch
	// Malformed means that the text is not a key.
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

// Record is the record of one key.
type Record struct {
	// Key is the parsed key.
	Key key.Key
	// Fingerprint identifies the workspace, route and body that the key was opened with.
	Fingerprint uint64
	// Closed is set when the call was not run and never will be; it is never cleared.
	Closed bool
}

// Book holds the records of one home. It is not safe for concurrent use.
type Book struct {
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
	// inheritedSeals holds, by incarnation, the homes whose records are all stored here, with the time from which
	// every key of the home has expired.
	inheritedSeals map[uint64]time.Time
	// closedUntil holds, by the hash of a workspace, the minting time up to which its unopened keys are closed.
	closedUntil map[uint64]time.Time
}

// Options are the inputs of NewBook.
type Options struct {
	// Home is the name of the target.
	Home string
	// Incarnation identifies the home's process.
	Incarnation uint64
	// Limit is the largest number of records; it is above zero.
	Limit int
}

// NewBook returns an empty Book.
func NewBook(o Options) *Book {
	return &Book{
		home: o.Home, incarnation: o.Incarnation, limit: o.Limit,
		records: map[string]*Record{}, perWorkspace: map[uint64]int{}, closedUntil: map[uint64]time.Time{}, inheritedSeals: map[uint64]time.Time{},
	}
}

// Judge returns the verdict on a key that a workspace sends with a fingerprint.
func (b *Book) Judge(now time.Time, text, workspace string, fingerprint uint64) Verdict {
	b.advanceClock(now)
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
	return b.judgeNew(k)
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

// judgeNew returns the verdict on a key without a record.
func (b *Book) judgeNew(k key.Key) Verdict {
	switch {
	case !b.inheritedSeals[k.Incarnation].IsZero() && !k.Expired(b.clock):
		return Closed
	case k.Home != b.home:
		return Elsewhere
	case k.Incarnation != b.incarnation:
		return Restarted
	case k.Expired(b.clock):
		return Expired
	case k.Early(b.clock):
		return Early
	case b.sealed, !k.Minted.After(b.closedUntil[k.Workspace]):
		return Closed
	}
	return Free
}

// Open creates the record of a free key. It reports false if the book is sealed. It also reports false,
// and closes the key, if the workspace already uses its share of the memory.
func (b *Book) Open(text string, fingerprint uint64) bool {
	if b.sealed {
		return false
	}
	return b.addOrClose(text, fingerprint, false)
}

// Close ensures that a key that was not run never will be.
func (b *Book) Close(text string, fingerprint uint64) {
	if r := b.records[text]; r != nil {
		r.Closed = true
		return
	}
	b.addOrClose(text, fingerprint, true)
}

// Inherit stores the record of a home that left. It reports false for a bad or own key and if there is no room.
func (b *Book) Inherit(text string, fingerprint uint64) bool {
	k, err := key.Parse(text)
	if err != nil || k.Home == b.home && k.Incarnation == b.incarnation || !b.hasRoom(k.Workspace) {
		return false
	}
	b.store(text, &Record{Key: k, Fingerprint: fingerprint})
	return true
}

// Seal closes every unopened key for good.
func (b *Book) Seal() {
	b.sealed = true
}

// InheritSeal notes that every record of another home is stored here: its other keys were not run and never will be.
func (b *Book) InheritSeal(now time.Time, incarnation uint64) {
	b.advanceClock(now)
	b.inheritedSeals[incarnation] = b.clock.Add(key.Lifetime + 2*key.MaxClockSkew)
}

// Sealed returns the incarnations of the other homes whose records are all stored here.
func (b *Book) Sealed(now time.Time) (incarnations []uint64) {
	b.advanceClock(now)
	for incarnation, until := range b.inheritedSeals {
		if b.clock.Before(until) {
			incarnations = append(incarnations, incarnation)
		}
	}
	slices.Sort(incarnations)
	return incarnations
}

// addOrClose stores a record or, without room, closes the key through closedUntil.
func (b *Book) addOrClose(text string, fingerprint uint64, closed bool) bool {
	k, err := key.Parse(text)
	if err != nil {
		return false
	}
	if !b.hasRoom(k.Workspace) {
		b.closeUntil(k)
		return false
	}
	b.store(text, &Record{Key: k, Fingerprint: fingerprint, Closed: closed})
	return true
}

// store stores a record.
func (b *Book) store(text string, r *Record) {
	if b.records[text] == nil {
		b.perWorkspace[r.Key.Workspace]++
	}
	b.records[text] = r
}

// closeUntil closes a key, and all older unopened keys of its workspace.
func (b *Book) closeUntil(k key.Key) {
	if k.Minted.After(b.closedUntil[k.Workspace]) {
		b.closedUntil[k.Workspace] = k.Minted
	}
}

// hasRoom reports whether a workspace may store one more record: it may use as many as are still free.
func (b *Book) hasRoom(workspace uint64) bool {
	return b.perWorkspace[workspace] < b.limit-len(b.records)
}

// advanceClock moves the clock forward, never back.
func (b *Book) advanceClock(now time.Time) {
	if wall := now.Round(0); wall.After(b.clock) {
		b.clock = wall
	}
}

// Expire drops expired records, seals and closing times, and returns the keys of the dropped records.
func (b *Book) Expire(now time.Time) (texts []string) {
	b.advanceClock(now)
	for text, r := range b.records {
		if !r.Key.Expired(b.clock) {
			continue
		}
		texts = append(texts, text)
		b.remove(text, r)
	}
	for workspace, floor := range b.closedUntil {
		if (key.Key{Minted: floor}).Expired(b.clock) {
			delete(b.closedUntil, workspace)
		}
	}
	for incarnation, until := range b.inheritedSeals {
		if !b.clock.Before(until) {
			delete(b.inheritedSeals, incarnation)
		}
	}
	return texts
}

// remove removes a record.
func (b *Book) remove(text string, r *Record) {
	delete(b.records, text)
	b.perWorkspace[r.Key.Workspace]--
	if b.perWorkspace[r.Key.Workspace] == 0 {
		delete(b.perWorkspace, r.Key.Workspace)
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
