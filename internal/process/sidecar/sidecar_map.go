package sidecar

import (
	"slices"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/patch"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// updateCurrentMap keeps the complete map that the engine uses: that of the attempt by which it came into use, or the one with
// which the group has started; mu is held.
func (p *Process) updateCurrentMap(e hold.Engine) {
	if p.currentMap.Sets != nil && p.currentMap.Epoch == e.Epoch && p.currentMap.Version == e.MapVersion {
		return
	}
	p.currentMap = patch.Map{Epoch: e.Epoch, Version: e.MapVersion}
	if version, sets := p.core.FollowedMap(); sets != nil && version == e.MapVersion {
		p.currentMap.Sets = sets
		return
	}
	if e.MapVersion != 0 || e.Epoch == p.unpatchedEpoch || p.expertConfig == nil || p.rankExpertsEpoch != e.Epoch || p.rankExperts.MapVersion != 0 || e.Size < 1 {
		return
	}
	initial := patch.Initial(p.expertConfig.Sets, p.expertConfig.Count, e.Size)
	if holdsExperts(p.rankExperts.Experts, initial, e.Rank) {
		p.currentMap.Sets = initial
	}
}

// holdsExperts reports whether a rank holds, by set, the experts that a map assigns to it.
func holdsExperts(held [][]int, sets [][][]int, rank int) bool {
	return slices.EqualFunc(held, sets, func(own []int, ranks [][]int) bool {
		return rank < len(ranks) && slices.Equal(slices.Sorted(slices.Values(own)), ranks[rank])
	})
}

// knownMap returns the version of the complete map in use, plus one, or zero if it is not known; mu is held.
func (p *Process) knownMap() uint64 {
	if p.currentMap.Sets == nil {
		return 0
	}
	return p.currentMap.Version + 1
}

// encodePatched returns the wire form of an attempt whose map is given by what differs from the map in use, or nil if that is
// not known or the attempt has no map; mu is held.
func (p *Process) encodePatched(a *hold.Attempt) *message.Attempt {
	if a == nil || a.Map == nil || p.currentMap.Sets == nil || p.currentMap.Epoch != a.Epoch || !sameShape(p.currentMap.Sets, a.Map) {
		return nil
	}
	difference := patch.New(p.currentMap.Sets, a.Map)
	withoutMap := *a
	withoutMap.Map = nil
	m := encodeAttempt(&withoutMap)
	m.Base, m.Digest, m.Changes = p.knownMap(), difference.Digest, difference.Changes
	return m
}

// sameShape reports whether two maps have the same numbers of sets and ranks.
func sameShape(a, b [][][]int) bool {
	return slices.EqualFunc(a, b, func(x, y [][]int) bool { return len(x) == len(y) })
}

// decodePatched returns the attempt of its wire form, or nil if its map is given by what differs from another one that is not
// known here; mu is held. The leader then sends the complete map, because this slot names the map that it knows.
func (p *Process) decodePatched(m *message.Attempt) *hold.Attempt {
	a := decodeAttempt(m, p.core.Rank())
	if m == nil || m.Base == 0 {
		return a
	}
	if m.Base != p.knownMap() || m.Epoch != p.currentMap.Epoch {
		p.Log.Info("map not patched", "version", m.Version, "base", m.Base, "known", p.knownMap())
		return nil
	}
	difference := patch.Patch{Digest: m.Digest, Changes: m.Changes}
	sets, err := difference.Apply(p.currentMap.Sets)
	if err != nil {
		p.Log.Warn("map not patched", "version", m.Version, "error", err)
		p.currentMap.Sets, p.unpatchedEpoch = nil, m.Epoch
		return nil
	}
	a.Map = sets
	return a
}
