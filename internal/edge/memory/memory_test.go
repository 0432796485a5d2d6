package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// fill takes pieces for a workspace until there is no room, and returns the bytes that it got.
func fill(a *Account, workspace string, piece int64) (bytes int64) {
	for a.Hold(workspace).Add(piece) {
		bytes += piece
	}
	return bytes
}

// TestShares fills the account from workspaces in turn. Without shares the first one would leave nothing to the others.
func TestShares(t *testing.T) {
	const limit, piece = 90 << 20, 32 << 10
	is := is.New(t)
	a := New(limit)
	first := fill(a, "greedy", piece)
	is.True(first > limit*6/10 && first <= limit*2/3)
	second := fill(a, "second", piece)
	is.True(second > limit/5) // two thirds of what was left
	for i := range 20 {
		is.True(a.Hold(fmt.Sprint("small-", i)).Add(piece))
	}
	is.True(a.Used() <= limit)
	is.True(!a.Hold("greedy").Add(1))
}

// TestLargeAnswersLeaveRoomForSmallRequests fills the part of a workspace with large answers. Its other requests are still served.
func TestLargeAnswersLeaveRoomForSmallRequests(t *testing.T) {
	const limit, large, small = 92 << 20, 1 << 20, 24 << 10
	is := is.New(t)
	a := New(limit)
	for h := a.Hold("w"); h.Set(large); h = a.Hold("w") {
	}
	is.True(a.Used() <= limit/2)
	is.True(fill(a, "w", small) >= 400*small)
}

// TestEvenShares has workspaces take pieces by turns; each gets the same.
func TestEvenShares(t *testing.T) {
	const limit, workspaces = 1000, 4
	is := is.New(t)
	a := New(limit)
	got := map[int]int{}
	for range limit {
		for w := range workspaces {
			if a.Hold(fmt.Sprint(w)).Add(1) {
				got[w]++
			}
		}
	}
	for w := range workspaces {
		is.True(got[w] >= 2*limit/(2*workspaces+1)-workspaces)
	}
}

// TestAccountIsExact changes holds at random. A byte that was released twice or never would make the bound wrong for ever.
func TestAccountIsExact(t *testing.T) {
	const limit = 10_000
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	a := New(limit)
	holds := make([]*Hold, 100)
	for i := range holds {
		holds[i] = a.Hold(fmt.Sprint(i % 7))
	}
	for range 20_000 {
		h := holds[random.IntN(len(holds))]
		before := h.Bytes()
		switch bytes := random.Int64N(500); random.IntN(3) {
		case 0:
			h.Release()
		case 1:
			if !h.Set(bytes) {
				is.Equal(h.Bytes(), before)
				is.True(bytes > before)
			}
		default:
			h.Add(bytes)
		}
		sum := int64(0)
		for _, v := range holds {
			sum += v.Bytes()
		}
		is.Equal(a.Used(), sum)
		is.True(sum <= limit)
	}
	for _, h := range holds {
		h.Release()
	}
	is.Equal(a.Used(), int64(0))
	is.Equal(len(a.workspaces), 0)
}

// TestNoLimit checks that without a memory limit nothing is refused.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	is.True(New(0).Hold("a").Add(1 << 40))
}
