package budget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// bound is that of the sheets.
var bound = site.RetryBound{Ratio: 0.2, Slack: 94, Window: 10 * time.Second}

// TestEntriesTogetherKeepTheBound lets all entries repeat as often as they may, with uneven and changing demand,
// and sums every window of the bound's length.
func TestEntriesTogetherKeepTheBound(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		perTick func(tick int) int
	}{
		{"steady", 9, func(int) int { return 3 }},
		{"none at all", 9, func(int) int { return 0 }},
		{"bursts", 9, func(tick int) int { return 40 * (tick / 300 % 2) }},
		{"one entry only", 1, func(int) int { return 5 }},
		{"many entries", 60, func(int) int { return 2 }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			const tick = 50 * time.Millisecond
			now := time.Unix(1_700_000_000, 0)
			random := rand.New(rand.NewPCG(1, 2))
			budgets := make([]*Budget, v.entries)
			for i := range budgets {
				budgets[i] = New(bound)
			}
			var requests, repeats []int
			for n := range 1200 {
				now = now.Add(tick)
				sent, repeated := v.perTick(n), 0
				for range sent {
					budgets[random.IntN(v.entries)].CountRequest(now)
				}
				for _, b := range budgets {
					for b.AllowRetry(now, v.entries) {
						repeated++
					}
				}
				requests, repeats = append(requests, sent), append(repeats, repeated)
			}
			width := int(bound.Window / tick)
			for from := 0; from+width <= len(repeats); from++ {
				// The bound counts the requests of the window, or of one half or a whole window before it.
				most := 0
				for _, back := range []int{0, width / 2, width} {
					most = max(most, total(requests, from-back, width))
				}
				is.True(float64(total(repeats, from, width)) <= bound.Ratio*float64(most)+bound.Slack)
			}
		})
	}
}

func total(counts []int, from, width int) (sum int) {
	for i := max(from, 0); i < min(from+width, len(counts)); i++ {
		sum += counts[i]
	}
	return sum
}

func TestEntriesOfANewProcess(t *testing.T) {
	is := is.New(t)
	is.Equal(Entries(1, time.Second, 5*time.Second), fewestEntries)
	is.Equal(Entries(30, time.Second, 5*time.Second), 30)
	is.Equal(Entries(9, time.Minute, 5*time.Second), 9)
}
