package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

// TestPermitsKeepTheRate lets entries ask for permits whenever they may, and compares the permits in each span of four
// seconds with the users' bound: one and a half times the rate, plus five.
func TestPermitsKeepTheRate(t *testing.T) {
	const tick, window, duration = 10 * time.Millisecond, 4 * time.Second, 40 * time.Second
	tests := []struct {
		name    string
		entries int
		rate    func(at time.Duration) float64
		count   int
	}{
		{"one a second, nine entries", 9, func(time.Duration) float64 { return 1 }, 1},
		{"a fraction", 9, func(time.Duration) float64 { return 0.3 }, 3},
		{"zero", 9, func(time.Duration) float64 { return 0 }, 1},
		{"more than the entries ask for at once", 9, func(time.Duration) float64 { return 40 }, 1},
		{"bursts of callers", 60, func(time.Duration) float64 { return 10 }, 20},
		{"many entries", 200, func(time.Duration) float64 { return 2 }, 1},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			issuer, holders := NewIssuer(), make([]Holder, v.entries)
			var issued []int
			total, asked := 0, 0
			for at := time.Duration(0); at < duration; at += tick {
				now, n := start.Add(at), 0
				for _, i := range random.Perm(v.entries) {
					h := &holders[i]
					if h.TakePermit(now) || !h.DeniedUntil(now, 0).IsZero() {
						continue
					}
					p := issuer.Issue(now, PermitRequest{Target: 1, Rate: v.rate(at), Count: v.count}, v.entries)
					h.ApplyPermits(now, p, 0)
					n += p.Count
					asked++
				}
				issued = append(issued, n)
				total += n
			}
			rate := max(v.rate(0), MinRate)
			for from := range issued {
				sum := 0
				for _, n := range issued[from:min(from+int(window/tick), len(issued))] {
					sum += n
				}
				is.True(float64(sum) <= 1.5*v.rate(0)*window.Seconds()+5)
			}
			is.True(float64(total) >= 0.95*rate*duration.Seconds())
			// Each entry asks again when a permit is due, and after each permit.
			is.True(asked <= total+v.entries*(int(duration/minDenial)+1))
		})
	}
}

// TestLoweredRateLeavesNoBurst checks that permits saved up at a high rate are not issued at a low one.
func TestLoweredRateLeavesNoBurst(t *testing.T) {
	is := is.New(t)
	issuer := NewIssuer()
	issuer.Issue(start, PermitRequest{Target: 1, Rate: 1000}, 1)
	now, issued := start.Add(time.Second), 0
	for range 100 {
		issued += issuer.Issue(now, PermitRequest{Target: 1, Rate: 1, Count: 10}, 1).Count
	}
	is.True(issued <= 1)
}

// TestUrgentRequestsGetPermitsFirst lets requests of two priorities ask for more permits than there are.
func TestUrgentRequestsGetPermitsFirst(t *testing.T) {
	tests := []struct {
		name string
		// urgent and other are requests for permits a second.
		urgent, other int
		// urgentShare and otherShare are the least parts of the rate that they get.
		urgentShare, otherShare float64
	}{
		{"urgent ones alone ask for more than the rate", 50, 50, 0.9, 0},
		{"urgent ones leave most of it", 1, 50, 0.1, 0.5},
		{"no urgent ones", 0, 50, 0, 0.9},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			const rate, seconds = 5, 40
			issuer, got := NewIssuer(), map[int]int{}
			for i := range 100 * seconds {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				for priority, n := range []int{v.urgent, v.other} {
					if i%100*n/100 != (i%100+1)*n/100 {
						got[priority] += issuer.Issue(now, PermitRequest{Target: 1, Rate: rate, Priority: priority}, 9).Count
					}
				}
			}
			t.Logf("urgent %d, other %d of %d", got[0], got[1], rate*seconds)
			is.True(float64(got[0]) >= v.urgentShare*rate*seconds)
			is.True(float64(got[1]) >= v.otherShare*rate*seconds)
		})
	}
}

func TestHolder(t *testing.T) {
	is := is.New(t)
	var h Holder
	is.True(!h.TakePermit(start))
	is.True(h.DeniedUntil(start, 0).IsZero())
	h.ApplyPermits(start, Permits{Count: 1}, 0)
	is.True(h.TakePermit(start))
	is.True(!h.TakePermit(start))
	h.ApplyPermits(start, Permits{Count: 1}, 0)
	is.True(!h.TakePermit(start.Add(permitLifetime)))
	h.ApplyPermits(start, Permits{Wait: time.Second}, 3)
	is.True(h.DeniedUntil(start, 2).IsZero())
	is.Equal(h.DeniedUntil(start, 3), start.Add(time.Second))
	is.True(h.DeniedUntil(start.Add(time.Second), 3).IsZero())
	h.ApplyPermits(start, Permits{Wait: time.Hour}, 0)
	is.True(h.DeniedUntil(start.Add(maxDenial), 0).IsZero())
	h.ApplyPermits(start, Permits{}, 0)
	is.Equal(h.DeniedUntil(start, 0), start.Add(minDenial))
}

// TestIssuerForgetsIdleTargets checks that the memory of an Issuer is bounded by the targets in use.
func TestIssuerForgetsIdleTargets(t *testing.T) {
	is := is.New(t)
	issuer, now := NewIssuer(), start
	for i := range uint32(1000) {
		now = now.Add(accountLifetime / 10)
		issuer.Issue(now, PermitRequest{Target: i, Rate: 1}, 9)
	}
	is.True(len(issuer.accounts) <= 12)
}

func TestRetryAfterFitsTheRate(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryAfter(time.Second, 2, 0), time.Second)
	is.Equal(RetryAfter(time.Second, 2, 0.5), 2*time.Second)
	is.Equal(RetryAfter(0, 100, 0), minDenial)
	is.Equal(RetryAfter(time.Second, 0, 0.99), maxRetryAfter)
}
