package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPick(t *testing.T) {
	const old = time.Hour
	tests := []struct {
		name       string
		candidates []Candidate
		prefix     uint64
		want       string
	}{
		{"less loaded", []Candidate{{Name: "a", SameCentre: true, Running: 8}, {Name: "b", SameCentre: true, Running: 1}}, 0, "b"},
		{"own requests since a fresh report", []Candidate{{Name: "a", SameCentre: true, SentSinceReport: 3, OwnInFlight: 3}, {Name: "b", SameCentre: true, Running: 2}}, 0, "b"},
		{"an old report is ignored", []Candidate{{Name: "a", SameCentre: true, Age: old, OwnInFlight: 2}, {Name: "b", SameCentre: true, Running: 8, Age: old}}, 0, "b"},
		{"near first", []Candidate{{Name: "a", SameCentre: true, Running: 1}, {Name: "b"}}, 0, "a"},
		{"far under load", []Candidate{{Name: "a", SameCentre: true, Running: 4}, {Name: "b"}}, 0, "b"},
		{"only far", []Candidate{{Name: "a", Running: 4}, {Name: "b"}}, 0, "b"},
		{"warm", []Candidate{{Name: "a", SameCentre: true, Running: 3, PrefixCached: true}, {Name: "b", SameCentre: true}}, 1, "a"},
		{"warm but overloaded", []Candidate{{Name: "a", SameCentre: true, Running: 6, PrefixCached: true}, {Name: "b", SameCentre: true}}, 1, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for i := range test.candidates {
				test.candidates[i].Width = 8
			}
			p := NewPicker(Options{Random: rand.New(rand.NewPCG(1, 2))})
			hits := 0
			for range 100 {
				if test.candidates[p.Pick(test.candidates, test.prefix)].Name == test.want {
					hits++
				}
			}
			is.True(hits >= 98)
		})
	}
}

func TestPickWithoutCandidates(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPicker(Options{Random: rand.New(rand.NewPCG(1, 2))}).Pick(nil, 1), -1)
}

// TestEntriesAgreeOnNewPrefix checks that nine entries without shared state choose the same target for a new prefix.
func TestEntriesAgreeOnNewPrefix(t *testing.T) {
	is := is.New(t)
	chosen := map[int]int{}
	for entry := range uint64(9) {
		var candidates []Candidate
		for i := range 12 {
			candidates = append(candidates, Candidate{Name: fmt.Sprint(i), SameCentre: true, Width: 8})
		}
		p := NewPicker(Options{Random: rand.New(rand.NewPCG(entry, 2))})
		chosen[p.Pick(candidates, 77)]++
	}
	is.Equal(len(chosen), 1)
}

func names(kind string, n int) (list []string) {
	for i := range n {
		list = append(list, fmt.Sprint(kind, i))
	}
	return list
}

func TestSubset(t *testing.T) {
	is := is.New(t)
	entries, targets := names("entry", 70), names("target", 411)
	entriesOf := map[string]int{}
	for _, e := range entries {
		subset := Subset(e, entries, targets, 12, 8)
		is.True(len(subset) >= 8)
		for _, v := range subset {
			entriesOf[v]++
		}
	}
	for _, v := range targets {
		is.Equal(entriesOf[v], 12)
	}
	is.Equal(Subset("entry0", entries[:9], targets, 12, 8), targets)
}

func TestSubsetOfFewTargets(t *testing.T) {
	is := is.New(t)
	entries, targets := names("entry", 630), names("target", 20)
	for _, e := range entries {
		is.True(len(Subset(e, entries, targets, 2, 8)) >= 8)
	}
}

func TestSubsetIsStable(t *testing.T) {
	is := is.New(t)
	entries, targets := names("entry", 70), names("target", 411)
	moved := 0
	for _, e := range entries[1:] {
		before := map[string]bool{}
		for _, v := range Subset(e, entries, targets, 12, 8) {
			before[v] = true
		}
		for _, v := range Subset(e, entries[1:], targets, 12, 8) {
			if !before[v] {
				moved++
			}
		}
	}
	// Only the pairs of the entry that left move: each of its targets gains one entry.
	is.Equal(moved, len(Subset("entry0", entries, targets, 12, 8)))
}
