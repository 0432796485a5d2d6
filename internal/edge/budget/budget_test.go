package budget

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// smallBound and largeBound have the values of the users' smallest and largest sites.
var (
	smallBound = site.RetryBound{Ratio: 0.2, Slack: 94, Window: 10 * time.Second}
	largeBound = site.RetryBound{Ratio: 0.2, Slack: 648, Window: 10 * time.Second}
)

// TestEntriesTogetherKeepTheBound checks that all entries together stay within the bound in every window when each
// retries as often as its budget allows, with uneven and changing demand.
func TestEntriesTogetherKeepTheBound(t *testing.T) {
	tests := []struct {
		name    string
		entries int
		bound   site.RetryBound
		perTick func(tick int) int
	}{
		{"steady", 9, smallBound, func(int) int { return 3 }},
		{"no requests", 9, smallBound, func(int) int { return 0 }},
		{"bursts", 9, smallBound, func(tick int) int { return 40 * (tick / 300 % 2) }},
		{"one entry", 1, smallBound, func(int) int { return 5 }},
		{"many entries", 60, smallBound, func(int) int { return 2 }},
		{"the large site", 149, largeBound, func(int) int { return 18 }},
		{"bursts at the large site", 149, largeBound, func(tick int) int { return 70 * (tick / 300 % 2) }},
		{"630 entries", 630, largeBound, func(int) int { return 75 }},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			const tick = 50 * time.Millisecond
			now := time.Unix(1_700_000_000, 0)
			random := rand.New(rand.NewPCG(1, 2))
			budgets := make([]*Budget, v.entries)
			for i := range budgets {
				budgets[i] = New(v.bound, now)
			}
			var requests, retries []int
			for n := range 1200 {
				now = now.Add(tick)
				sent, retried := v.perTick(n), 0
				for range sent {
					budgets[random.IntN(v.entries)].CountRequest(now)
				}
				for _, b := range budgets {
					for b.AllowRetry(now, v.entries) {
						retried++
					}
				}
				requests, retries = append(requests, sent), append(retries, retried)
			}
			most, allowed := mostAbove(requests, retries, tick, v.bound)
			is.True(float64(most) <= allowed)
		})
	}
}

// TestRestartsKeepTheBound kills and restarts entries that retry as often as they may, and counts their retries in every window.
func TestRestartsKeepTheBound(t *testing.T) {
	const tick, killed = 50 * time.Millisecond, 20 * time.Second
	orderBound := site.RetryBound{Ratio: 0.2, Slack: 208, Window: 10 * time.Second}
	tests := []struct {
		name string
		// perTick is the number of requests in a tick.
		entries, perTick int
		bound            site.RetryBound
		// failing is the time from which targets fail, and share the part of the entries that is killed count times, at intervals.
		failing  time.Duration
		share    float64
		interval time.Duration
		count    int
	}{
		{"most entries three times", 35, 14, orderBound, killed - 2*time.Second, 0.8, 3 * time.Second, 3},
		{"most entries while targets have failed for long", 35, 14, orderBound, 0, 0.8, 3 * time.Second, 3},
		{"all entries just after targets begin to fail", 35, 14, orderBound, killed - tick, 1, time.Second, 1},
		{"all entries after a second of failures", 35, 14, orderBound, killed - time.Second, 1, time.Second, 1},
		{"all entries after three seconds of failures", 35, 14, orderBound, killed - 3*time.Second, 1, time.Second, 1},
		{"all entries after six seconds of failures", 35, 14, orderBound, killed - 6*time.Second, 1, time.Second, 1},
		{"all entries in the middle of a window", 35, 14, orderBound, killed - 5*time.Second, 1, 2 * time.Second, 3},
		{"all entries again and again", 35, 14, orderBound, killed - tick, 1, time.Second, 20},
		{"entries in turn", 35, 14, orderBound, killed - time.Second, 0.1, 300 * time.Millisecond, 60},
		{"few requests", 35, 1, orderBound, killed - tick, 0.8, 2 * time.Second, 10},
		{"one entry", 1, 3, smallBound, killed - tick, 1, 2 * time.Second, 10},
		{"nine entries", 9, 3, smallBound, killed - tick, 0.8, 3 * time.Second, 5},
		{"149 entries", 149, 18, largeBound, killed - tick, 0.8, 3 * time.Second, 3},
		{"630 entries", 630, 75, largeBound, killed - tick, 0.8, 3 * time.Second, 3},
	}
	for _, v := range tests {
		for _, records := range []records{kept, lost, none} {
			t.Run(v.name+"/records "+string(records), func(t *testing.T) {
				is := is.New(t)
				for seed := range uint64(3) {
					start := time.Unix(1_700_000_000, 0)
					w := newFleet(start, seed, v.entries, v.bound, records)
					var requests, retries []int
					kills := 0
					for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += tick {
						now := start.Add(elapsed)
						if kills < v.count && elapsed >= killed+time.Duration(kills)*v.interval {
							kills++
							for _, i := range w.random.Perm(v.entries)[:int(math.Ceil(v.share*float64(v.entries)))] {
								w.restart(now, i)
							}
						}
						requests, retries = append(requests, v.perTick), append(retries, w.tick(now, v.perTick, elapsed >= v.failing))
					}
					most, allowed := mostAbove(requests, retries, tick, v.bound)
					t.Logf("seed %d: %d retries in %s, %.0f allowed", seed, most, v.bound.Window, allowed)
					is.True(float64(most) <= allowed)
				}
			})
		}
	}
}

// records says what becomes of the records of a fleet: slots keep them, slots keep them and end with the entries, or there are no slots.
type records string

const (
	kept records = "kept"
	lost records = "lost"
	none records = "none"
)

// fleet is a number of entries. An entry records its retries each recordTime, or at once if they are
// many, and learns of those of the process before it learnTime after its start.
type fleet struct {
	random  *rand.Rand
	bound   site.RetryBound
	archive *Archive
	records records
	budgets []*Budget
	starts  []time.Time
	// incarnations counts the processes of each entry.
	incarnations []uint64
	recordedAt   []time.Time
}

const recordTime, learnTime = 200 * time.Millisecond, 300 * time.Millisecond

func newFleet(now time.Time, seed uint64, entries int, bound site.RetryBound, records records) *fleet {
	w := &fleet{
		random: rand.New(rand.NewPCG(1, seed)), bound: bound, archive: NewArchive(), records: records,
		budgets: make([]*Budget, entries), starts: make([]time.Time, entries), incarnations: make([]uint64, entries), recordedAt: make([]time.Time, entries),
	}
	for i := range entries {
		w.restart(now, i)
		w.recordedAt[i] = now.Add(-time.Duration(w.random.Int64N(int64(recordTime))))
	}
	return w
}

func (w *fleet) restart(now time.Time, i int) {
	w.budgets[i], w.starts[i] = New(w.bound, now), now
	w.budgets[i].Archived = w.records != none
	w.incarnations[i]++
}

// tick lets the entries get a number of requests, of which they retry as many as they may if targets fail, and returns these.
func (w *fleet) tick(now time.Time, requests int, failing bool) (retried int) {
	for range requests {
		w.budgets[w.random.IntN(len(w.budgets))].CountRequest(now)
	}
	for i, b := range w.budgets {
		for failing && b.AllowRetry(now, len(w.budgets)) {
			retried++
			if _, many := b.Unrecorded(b.Account(now, len(w.budgets))); many {
				w.record(now, i)
			}
		}
		if now.Sub(w.recordedAt[i]) >= recordTime {
			w.record(now, i)
		}
	}
	return retried
}

func (w *fleet) record(now time.Time, i int) {
	b, age := w.budgets[i], now.Sub(w.starts[i])
	w.recordedAt[i] = now
	r := b.Record(now)
	if w.records != kept || age < learnTime {
		return
	}
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i % 250)}), 7000)
	w.archive.Keep(now, address, w.incarnations[i], Records{Services: map[string]Record{"a": r}}, b.inherited || age >= w.bound.Window, w.bound.Window)
	if earlier := w.archive.Earlier(address); earlier.Services != nil {
		b.Inherit(now, earlier.Services["a"])
	}
}

// TestRestartedEntriesGoOnRetrying has targets fail from the time at which all entries are killed, and counts the retries until shortly
// after.
func TestRestartedEntriesGoOnRetrying(t *testing.T) {
	is := is.New(t)
	const tick, entries, perTick, killed = 50 * time.Millisecond, 35, 14, 20 * time.Second
	bound := site.RetryBound{Ratio: 0.2, Slack: 208, Window: 10 * time.Second}
	var retries [2]int
	for i, restart := range []bool{false, true} {
		start := time.Unix(1_700_000_000, 0)
		w := newFleet(start, 2, entries, bound, kept)
		for elapsed := time.Duration(0); elapsed < killed+4*time.Second; elapsed += tick {
			now := start.Add(elapsed)
			for n := range entries {
				if restart && elapsed == killed {
					w.restart(now, n)
				}
			}
			retries[i] += w.tick(now, perTick, elapsed >= killed)
		}
	}
	t.Logf("%d retries, %d after a restart", retries[0], retries[1])
	is.True(retries[1] >= retries[0]*9/10)
}

// mostAbove returns the retries of the window in which they are nearest to the bound, or farthest above it, and what is allowed there.
// The bound counts the requests of the window, or of one half or a whole window before it.
func mostAbove(requests, retries []int, tick time.Duration, b site.RetryBound) (most int, allowed float64) {
	width := int(b.Window / tick)
	for from := 0; from+width <= len(retries); from++ {
		counted := 0
		for _, back := range []int{0, width / 2, width} {
			counted = max(counted, sumWindow(requests, from-back, width))
		}
		n, bound := sumWindow(retries, from, width), b.Ratio*float64(counted)+b.Slack
		if from == 0 || float64(n)-bound > float64(most)-allowed {
			most, allowed = n, bound
		}
	}
	return most, allowed
}

// TestRetriesCountForAWholeWindow checks that an entry that retries as often as it may keeps its part in every window.
func TestRetriesCountForAWholeWindow(t *testing.T) {
	is := is.New(t)
	const step = 10 * time.Millisecond
	for offset := time.Duration(0); offset < time.Second; offset += 7 * step {
		start := time.Unix(1_700_000_000, 0)
		b := New(smallBound, start)
		b.CountRequest(start)
		first := start.Add(2*smallBound.Window + offset)
		for now := start; now.Before(first); now = now.Add(step) {
			b.Account(now, 1)
		}
		var retries []int
		for now := first; now.Before(first.Add(3 * smallBound.Window)); now = now.Add(step) {
			n := 0
			for b.AllowRetry(now, 1) {
				n++
			}
			retries = append(retries, n)
		}
		width, most := int(smallBound.Window/step), 0
		for from := 0; from+width <= len(retries); from++ {
			most = max(most, sumWindow(retries, from, width))
		}
		is.True(float64(most) <= plainParts.slack*smallBound.Slack)
		is.True(float64(most) > plainParts.slack*smallBound.Slack-3)
	}
}

func sumWindow(counts []int, from, width int) (sum int) {
	for i := max(from, 0); i < min(from+width, len(counts)); i++ {
		sum += counts[i]
	}
	return sum
}
