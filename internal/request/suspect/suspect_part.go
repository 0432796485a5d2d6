package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxParts is the largest number of parts of a prompt that are told apart.
	MaxParts = 32
	// SurvivalEvents is the number of events of an answer after which the parts of its prompt did not end the target.
	SurvivalEvents = 8
	// maxSound is the largest number of sound parts, and of completed requests, that a Tracker remembers.
	maxSound = 4096
	// partBit is set in the fingerprints of parts and clear in those of requests.
	partBit = 1 << 63
)

// PartRefusalReason is the reason given to the caller of a request whose prompt has a convicted part.
const PartRefusalReason = "engines crashed while they ran prompts with one part of this one; such prompts are refused for an hour"

// PartFingerprint returns a hash of the ID of a part of a prompt.
func PartFingerprint(id string) uint64 {
	return xxhash.Sum64String(id) | partBit
}

// IsPart reports whether a fingerprint is that of a part.
func IsPart(fingerprint uint64) bool {
	return fingerprint&partBit != 0
}

// soundTarget is the target of the record by which processes tell each other that a request or a prompt with a part has completed.
const soundTarget = 0

// redundant returns the index of a run in a full list that shares its occasion with another of at least the same fate, or -1.
func redundant(runs []LostRun) int {
	return slices.IndexFunc(runs, func(r LostRun) bool {
		return slices.ContainsFunc(runs, func(other LostRun) bool {
			return other.Target != r.Target && other.Fate >= r.Fate && other.At.Sub(r.At).Abs() < occasionGap
		})
	})
}

// soundSet remembers at most maxSound fingerprints of what has completed, the latest ones.
type soundSet struct {
	// recent and older hold at most maxSound/2 fingerprints each.
	recent, older map[uint64]bool
}

func (p *soundSet) add(part uint64) {
	if p.recent[part] {
		return
	}
	if len(p.recent) >= maxSound/2 || p.recent == nil {
		p.recent, p.older = map[uint64]bool{}, p.recent
	}
	p.recent[part] = true
}

func (p *soundSet) has(part uint64) bool {
	return p.recent[part] || p.older[part]
}

// MarkSound records that a prompt with the given parts has completed.
func (t *Tracker) MarkSound(now time.Time, parts ...uint64) {
	for _, part := range parts {
		t.Complete(now, part)
		t.sound.add(part)
		t.vouch(now, part)
	}
}

// vouch makes News tell the other processes that a request or part with lost runs has completed, if this process knows it.
func (t *Tracker) vouch(now time.Time, fingerprint uint64) {
	known := &t.completed
	if IsPart(fingerprint) {
		known = &t.sound
	}
	if known.has(fingerprint) {
		t.learnSound(now, fingerprint, now)
	}
}

// learnSound records that a request or part that has lost runs has completed, and reports whether that is new. News tells the other
// processes unless newsAt is zero, which means that another process has told all.
func (t *Tracker) learnSound(now time.Time, part uint64, newsAt time.Time) (isNew bool) {
	e, ok := t.verdicts[part]
	if !ok {
		return false
	}
	isNew = e.soundAt.IsZero()
	switch {
	case isNew:
		e.soundAt, e.soundNewsAt = now, newsAt
	case newsAt.IsZero():
		e.soundNewsAt = newsAt
	}
	t.verdicts[part] = e
	return isNew
}

// Check returns the strongest verdict on a request and on the shared parts of its prompt, all given by their fingerprints, and the
// fingerprints that have it.
func (t *Tracker) Check(now time.Time, fingerprint uint64, parts []uint64) (verdict Verdict, by []uint64) {
	verdict, by = t.Verdict(now, fingerprint), []uint64{fingerprint}
	if verdict == Cleared {
		// It orders above Suspected, but says nothing against the parts.
		verdict = Unknown
	}
	for _, part := range parts {
		v := t.Verdict(now, part)
		if v >= Undecided && t.explained(now, part, fingerprint, parts) {
			v = Suspected
		}
		switch {
		case v > verdict:
			verdict, by = v, []uint64{part}
		case v == verdict:
			by = append(by, part)
		}
	}
	return verdict, by
}

// explained reports whether a part was never lost without another part or request that has the same verdict, and that a request does
// not have or is not. Such a request may show that the part is sound. Once the part is convicted, only ended targets count.
func (t *Tracker) explained(now time.Time, part, fingerprint uint64, parts []uint64) bool {
	runs, verdict, least := t.verdicts[part].runs, t.Verdict(now, part), FateOpen
	if verdict == Convicted {
		least = FateEnded
	}
	for other, e := range t.verdicts {
		if other == fingerprint || slices.Contains(parts, other) || !lostWith(now, runs, least, e.runs) {
			continue
		}
		if t.current(now, &e) >= verdict {
			return true
		}
	}
	return false
}

// lostWith reports whether the targets of all runs with at least a fate are among those of the others.
func lostWith(now time.Time, runs []LostRun, least Fate, others []LostRun) bool {
	for i := range runs {
		r := &runs[i]
		if r.counts(now) && r.Fate >= least && !slices.ContainsFunc(others, func(o LostRun) bool { return o.Target == r.Target && o.counts(now) }) {
			return false
		}
	}
	return true
}

// PartRun is a lost run of a prompt with a part, as a report has it.
type PartRun struct {
	Fingerprint uint64
	Target      uint32
	Fate        Fate
	// Age is the time from the end of the run to the report.
	Age time.Duration
}

// Equal reports whether two runs differ at most in their age.
func (r PartRun) Equal(other PartRun) bool {
	r.Age = other.Age
	return r == other
}

// PartRuns returns what is known of the parts that have a verdict or have lost a run in the last undecidedLifetime, about maxReported
// records, the most recent first.
func (t *Tracker) PartRuns(now time.Time) (runs []PartRun) {
	var parts []uint64
	for f, e := range t.verdicts {
		if IsPart(f) && (t.current(now, &e) != Unknown || now.Sub(e.updatedAt) < undecidedLifetime) {
			parts = append(parts, f)
		}
	}
	slices.SortFunc(parts, func(x, y uint64) int {
		return cmp.Or(t.verdicts[y].updatedAt.Compare(t.verdicts[x].updatedAt), cmp.Compare(x, y))
	})
	for _, f := range parts {
		if len(runs) >= maxReported {
			break
		}
		e := t.verdicts[f]
		for _, r := range e.runs {
			runs = append(runs, PartRun{f, r.Target, r.Fate, now.Sub(r.At)})
		}
		if !e.soundAt.IsZero() {
			runs = append(runs, PartRun{f, soundTarget, FateAlive, now.Sub(e.soundAt)})
		}
	}
	return runs
}

// LearnParts records what a report says of parts. The report was made at a time.
func (t *Tracker) LearnParts(now, madeAt time.Time, runs []PartRun) {
	for _, r := range runs {
		if IsPart(r.Fingerprint) {
			t.Learn(now, LostRun{Fingerprint: r.Fingerprint, Target: r.Target, Fate: r.Fate, At: madeAt.Add(-r.Age)})
		}
	}
}

// ReasonFor returns the reason of a refusal because of a convicted fingerprint.
func ReasonFor(by uint64) string {
	if IsPart(by) {
		return PartRefusalReason
	}
	return RefusalReason
}

// Incarnation returns an identifier, not zero, of the engine of a target between two of its crashes.
func Incarnation(target string, slot uint64, crashes int) uint32 {
	return max(uint32(xxhash.Sum64String(target+"/"+strconv.FormatUint(slot, 16)+"/"+strconv.Itoa(crashes))), soundTarget+1)
}
