// Package patch encodes an expert map by what differs from another one, which its receivers know: a switch changes few of the
// lists, and a complete map of a large group does not reach all ranks within the time for which it fits.
package patch

import (
	"encoding/binary"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// Map is an expert map of a version in an incarnation of a group.
type Map struct {
	Epoch, Version uint64
	// Sets holds the experts by set and rank.
	Sets [][][]int
}

// Patch is the difference between two maps.
type Patch struct {
	// Digest is that of the resulting map.
	Digest uint64
	// Changes holds, for each list that differs: the number of lists that it is after the one before, the numbers of removed
	// and of added experts, the removed, and the added ones. The lists are counted set by set.
	Changes []uint32
}

// Sort puts the experts of each list of a map in ascending order, in which New and Apply expect and return them.
func Sort(sets [][][]int) [][][]int {
	out := make([][][]int, len(sets))
	for s, set := range sets {
		out[s] = make([][]int, len(set))
		for r, experts := range set {
			out[s][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return out
}

// New returns the difference between two sorted maps with the same numbers of sets and ranks.
func New(from, to [][][]int) (p Patch) {
	p.Digest = digest(to)
	position, last := 0, 0
	for s := range to {
		for r, experts := range to[s] {
			if !slices.Equal(from[s][r], experts) {
				removed, added := missing(from[s][r], experts), missing(experts, from[s][r])
				p.Changes = append(p.Changes, uint32(position-last), uint32(len(removed)), uint32(len(added)))
				p.Changes = append(append(p.Changes, removed...), added...)
				last = position
			}
			position++
		}
	}
	return p
}

// missing returns the experts of the first list that are not in the second.
func missing(list, other []int) (out []uint32) {
	for _, e := range list {
		if !slices.Contains(other, e) {
			out = append(out, uint32(e))
		}
	}
	return out
}

// Apply returns the map that results from the difference to the given one, which it does not change.
func (p *Patch) Apply(from [][][]int) (to [][][]int, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "apply patch of expert map")
		}
	}()
	var lists []*[]int
	for _, set := range from {
		ranks := slices.Clone(set)
		to = append(to, ranks)
		for r := range ranks {
			lists = append(lists, &ranks[r])
		}
	}
	position := uint64(0)
	for rest := p.Changes; len(rest) > 0; {
		if len(rest) < 3 {
			return nil, merry.New("truncated")
		}
		position += uint64(rest[0])
		removed, added := uint64(rest[1]), uint64(rest[2])
		rest = rest[3:]
		if position >= uint64(len(lists)) || removed+added > uint64(len(rest)) {
			return nil, merry.New("invalid change")
		}
		*lists[position] = edit(*lists[position], rest[:removed], rest[removed:removed+added])
		rest = rest[removed+added:]
	}
	if digest(to) != p.Digest {
		return nil, merry.New("the result has another digest")
	}
	return to, nil
}

// edit returns a sorted list without some experts and with others.
func edit(list []int, removed, added []uint32) (out []int) {
	for _, e := range list {
		if !slices.Contains(removed, uint32(e)) {
			out = append(out, e)
		}
	}
	for _, e := range added {
		out = append(out, int(e))
	}
	slices.Sort(out)
	return out
}

// Initial returns the map with which an incarnation of a group starts: the experts of each set are assigned to the ranks in
// turn.
func Initial(sets, experts, size int) [][][]int {
	out := make([][][]int, sets)
	for s := range out {
		out[s] = make([][]int, size)
		for e := range experts {
			out[s][e%size] = append(out[s][e%size], e)
		}
	}
	return out
}

// digest returns a hash of a map.
func digest(sets [][][]int) uint64 {
	d := xxhash.New()
	var b [8]byte
	write := func(n int) {
		binary.LittleEndian.PutUint64(b[:], uint64(n))
		_, _ = d.Write(b[:])
	}
	for _, set := range sets {
		write(len(set))
		for _, experts := range set {
			write(len(experts))
			for _, e := range experts {
				write(e)
			}
		}
	}
	return d.Sum64()
}
