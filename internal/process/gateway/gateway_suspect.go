package gateway

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

const (
	// recordGrace is the time from the removal of a target's record until every entry has read it.
	recordGrace = 1500 * time.Millisecond
	// silentHeartbeats is the number of heartbeats without which a record lapses.
	silentHeartbeats = 3
	// defaultHeartbeat is used if the settings have none.
	defaultHeartbeat = 1200 * time.Millisecond
	// minRetryAfterOpen is the shortest Retry-After of a request that waits for the fate of its targets.
	minRetryAfterOpen = 300 * time.Millisecond
	// stallTime is the silence of a stream from which its loss is no sign that its own target has ended: the targets of a group
	// stall for longer before they cut off what depends on one that has.
	stallTime = 750 * time.Millisecond
)

// rejection is why a request may not be sent to a target.
type rejection struct {
	// status is zero if the request may be sent.
	status     int
	reason     string
	retryAfter time.Duration
}

// removalTime returns the time within which a target that has ended is removed from the list.
func (p *Process) removalTime() time.Duration {
	return silentHeartbeats*p.heartbeat() + recordGrace
}

// minOutage returns the least time for which the store fails when the record of a target that runs lapses: a heartbeat may have been due
// when the outage began, and the next one is sent up to a heartbeat after its end.
func (p *Process) minOutage() time.Duration {
	return (silentHeartbeats - 2) * p.heartbeat()
}

func (p *Process) heartbeat() time.Duration {
	return cmp.Or(max(p.settings.Load().Heartbeat, 0), defaultHeartbeat)
}

// judge returns the verdict on the request as it applies at this entry and the fingerprints that have it, and why the request may not be
// sent now, if it may end its target; mu is held.
func (v *request) judge(now time.Time) (verdict suspect.Verdict, by []uint64, r rejection) {
	p := v.process
	verdict, by, trialAt := p.suspects.Judge(now, v.fingerprint, v.parts, func(f uint64) bool { return p.ownsTrial(now, f) })
	v.trial = verdict == suspect.Suspected && !trialAt.IsZero()
	switch {
	case verdict == suspect.Convicted:
		r = rejection{http.StatusUnprocessableEntity, v.convictionReason(by[0]), 0}
	case verdict == suspect.Undecided && !trialAt.IsZero():
		r = rejection{http.StatusServiceUnavailable, "targets have ended that ran this request or a part of its prompt", max(trialAt.Sub(now), plainRetryAfter)}
	case verdict == suspect.Undecided:
		wait := p.suspects.OpenSince(now, by[0]).Add(p.removalTime()).Sub(now)
		r = rejection{http.StatusServiceUnavailable, "targets that ran this request or a part of its prompt may have ended", max(wait, minRetryAfterOpen)}
	case verdict == suspect.Suspected && slices.ContainsFunc(by, v.runsElsewhere):
		r = rejection{http.StatusServiceUnavailable, "an equal request or part is being run, and targets may have ended under one", plainRetryAfter}
	}
	return verdict, by, r
}

// ownsTrial reports whether this entry is the one that may run a request with a fingerprint on trial, for which it must know the others; mu
// is held.
func (p *Process) ownsTrial(now time.Time, fingerprint uint64) bool {
	return p.roster.Entries(now) > 0 && p.addresses[p.roster.Owner(now, formatFingerprint(fingerprint))] == p.settings.Load().Peers
}

// convictionReason returns the reason of a refusal because of a convicted fingerprint.
func (v *request) convictionReason(by uint64) string {
	if i := slices.Index(v.parts, by); i >= 0 {
		v.suspect = by
		return suspect.PartRefusalReason + ": part " + v.Parts[i]
	}
	return suspect.RefusalReason
}

// runsElsewhere reports whether another request with a suspected fingerprint is in progress at this entry; mu is held.
func (v *request) runsElsewhere(fingerprint uint64) bool {
	return v.process.exclusive[fingerprint] && !slices.Contains(v.exclusive, fingerprint)
}

// beginExclusive keeps other requests with suspected fingerprints from running at this entry while this one does; mu is held.
func (v *request) beginExclusive(by []uint64) {
	for _, f := range by {
		if !slices.Contains(v.exclusive, f) {
			v.exclusive = append(v.exclusive, f)
			v.process.exclusive[f] = true
		}
	}
}

// endExclusive undoes beginExclusive.
func (v *request) endExclusive() {
	if len(v.exclusive) == 0 {
		return
	}
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, f := range v.exclusive {
		delete(p.exclusive, f)
	}
}

// recordRun records that a run at a target was lost, or that the request has completed; mu is held.
func (v *request) recordRun(now time.Time, m *target.Member, result outcome) {
	p := v.process
	if result == outcomeServed && v.succeeded {
		p.suspects.MarkSound(now, v.parts...)
	}
	if result == outcomeServed || result == outcomeFailed {
		p.suspects.Complete(now, v.fingerprint)
		return
	}
	if v.fate == suspect.FateNone {
		return
	}
	fate := v.fate
	if !m.Leaving && !p.registry.Lists(m.Hash) {
		fate = suspect.FateEnded
	}
	isNew := v.recordParts(now, m, fate)
	r := suspect.LostRun{Fingerprint: v.fingerprint, Target: m.Hash, Fate: fate, At: now}
	if !p.suspects.Lose(now, r) && !isNew || fate == suspect.FateSilent {
		return
	}
	p.Log.Info("run lost", "id", v.ID, "fingerprint", formatFingerprint(v.fingerprint), "target", m.ID, "fate", fate,
		"verdict", p.suspects.Verdict(now, v.fingerprint), "parts", formatParts(v.Parts))
	p.metrics.lostRuns.With("event", fate.String()).Add(1)
	// The news must arrive before the caller's retry.
	p.sendNews(now, &p.runsSentAt)
}

// recordParts records a lost run for each shared part of the prompt and reports whether one is new. A run that had lasted tells
// nothing of its parts, and one that stalled was probably cut off because another target of the group had ended; mu is held.
func (v *request) recordParts(now time.Time, m *target.Member, fate suspect.Fate) (isNew bool) {
	p := v.process
	if v.events >= suspect.SurvivalEvents {
		return false
	}
	if v.events > 0 && fate == suspect.FateOpen && now.Sub(v.heardAt) >= stallTime {
		fate = suspect.FateSilent
	}
	for _, part := range v.parts {
		r := suspect.LostRun{Fingerprint: part, Target: m.Hash, Fate: fate, At: now}
		if fate == suspect.FateSilent {
			r.At = v.heardAt
		}
		if !p.suspects.Lose(now, r) || fate == suspect.FateSilent {
			continue
		}
		isNew = true
		if verdict := p.suspects.Verdict(now, part); verdict != suspect.Unknown {
			p.Log.Info("part suspected", "id", v.ID, "fingerprint", formatFingerprint(part), "target", m.ID, "fate", fate, "verdict", verdict)
		}
	}
	return isNew
}

// clearParts records that the parts of the prompt did not end the target; mu is held.
func (v *request) clearParts(now time.Time) {
	for _, part := range v.parts {
		v.process.suspects.Complete(now, part)
	}
}

// formatParts returns the parts of a prompt as logs have them.
func formatParts(parts []string) string {
	return strings.Join(parts, ",")
}

// learnRuns records the lost runs that another process has reported. A relay passes on what is new; mu is held.
func (p *Process) learnRuns(now time.Time, n *message.News) {
	learn := p.suspects.Learn
	if p.mesh.IsRelay() {
		learn = p.suspects.LearnNews
	}
	isNew := false
	for _, w := range n.Runs {
		r := w.Decode(now)
		before := p.suspects.Verdict(now, r.Fingerprint)
		if !learn(now, r) {
			continue
		}
		isNew = true
		p.metrics.lostRuns.With("event", "learned").Add(1)
		if verdict := p.suspects.Verdict(now, r.Fingerprint); verdict != before && verdict >= suspect.Undecided {
			p.Log.Info("run learned", "fingerprint", formatFingerprint(r.Fingerprint), "peer", n.Name, "fate", r.Fate, "verdict", verdict)
		}
	}
	if isNew && p.mesh.IsRelay() {
		p.sendNews(now, &p.runsSentAt)
	}
}

// applyChange decides the lost runs of a target that is gone; mu is held.
func (p *Process) applyChange(now time.Time, c target.Change) {
	switch {
	case c.Event == "gone" && c.Leaving:
		p.logRuns(now, p.suspects.KeepTarget(c.Hash), c.ID)
	case c.Event == "gone":
		p.logRuns(now, p.suspects.EndTarget(now, c.Hash, p.removalTime()), c.ID)
	}
}

// resolveRuns decides the lost runs whose targets would no longer be listed at readAt, had they ended. The records of
// ended targets may outlast an outage of the store; mu is held.
func (p *Process) resolveRuns(now, readAt time.Time) {
	if readAt.Sub(p.registry.OutageEndedAt()) < p.removalTime() {
		return
	}
	p.logRuns(now, p.suspects.Resolve(readAt, p.removalTime(), p.registry.Lists), "")
}

// logRuns logs and counts lost runs whose fate is now known; mu is held.
func (p *Process) logRuns(now time.Time, runs []suspect.LostRun, targetID string) {
	for _, r := range runs {
		p.metrics.lostRuns.With("event", r.Fate.String()).Add(1)
		if r.Fate == suspect.FateEnded {
			p.Log.Info("target ended under a request", "fingerprint", formatFingerprint(r.Fingerprint), "target", targetID, "hash", r.Target,
				"verdict", p.suspects.Verdict(now, r.Fingerprint))
		}
	}
}
