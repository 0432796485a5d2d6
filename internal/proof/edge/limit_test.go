package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' rule: from stableTime after a target named its limit, it gets in
	// no limitWindow more than limitFactor times what that allows, plus limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitUse is the least part of its limit that a target gets while there are more requests.
	limitUse = 0.8
)

// limited is a site whose first target, the nearest one, names a limit.
type limited struct {
	*rig
	mu sync.Mutex
	// limit is in requests a second; negative if the target names none.
	limit float64
	// namedAt is when the target first named a limit; arrivals are the times of the requests that reached it.
	namedAt  time.Time
	arrivals []time.Time
}

// newLimited starts a site whose first target names a limit from the first request that is not one of the rig's own.
func newLimited(t *testing.T, entries, others int, limit float64) *limited {
	t.Helper()
	l := &limited{limit: limit}
	handlers := []http.HandlerFunc{l.serve}
	for range others {
		handlers = append(handlers, serveDone)
	}
	l.rig = newSite(t, entries, time.Minute, handlers...)
	return l
}

func (l *limited) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/warm/" {
		serveDone(w, r)
		return
	}
	l.mu.Lock()
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	if l.limit >= 0 {
		w.Header().Set("Server-Limit", fmt.Sprint(l.limit))
		if l.namedAt.IsZero() {
			l.namedAt = now
		}
	}
	l.mu.Unlock()
	serveDone(w, r)
}

func (l *limited) setLimit(limit float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// most returns the largest number of arrivals in limitWindow from stableTime after the limit was named.
func (l *limited) most() (most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, from := range l.arrivals {
		if from.Sub(l.namedAt) < stableTime {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// arrivalsIn returns the number of arrivals in a span of time.
func (l *limited) arrivalsIn(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// allowed returns the largest number of requests that the users' rule allows in limitWindow.
func allowed(limit float64) int {
	return int(limitFactor*limit*limitWindow.Seconds() + limitSlack)
}

// load sends requests at a rate through random entries for a time, and returns how many there were and how many of them
// were not served.
func (l *limited) load(path string, rate float64, duration time.Duration) (sent, refused int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		e := l.entries[rand.IntN(len(l.entries))]
		sent++
		wg.Go(func() {
			if a := l.callAt(e, "POST", path, nil); a.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				refused++
			}
		})
	}
	wg.Wait()
	return sent, refused
}

// TestTargetGetsNoMoreThanItsLimit counts the requests that reach a target which names a limit, from all entries together.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	const rate, playTime = 40, 12 * time.Second
	tests := []struct {
		name, path      string
		limit           float64
		entries, others int
	}{
		{"small limit", "/once/", 1, 9, 2},
		{"fraction", "/safe/", 2.5, 4, 2},
		{"larger limit", "/stream/", 5, 9, 2},
		{"only target", "/once/", 2, 9, 0},
		{"only target, larger limit", "/safe/", 20, 9, 0},
		{"one entry", "/once/", 1, 1, 1},
		{"zero", "/once/", 0, 4, 2},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLimited(t, v.entries, v.others, v.limit)
			began := time.Now()
			sent, refused := l.load(v.path, rate, playTime)
			got := l.arrivalsIn(began.Add(stableTime), began.Add(playTime))
			t.Logf("at most %d requests in 4 s (allowed %d), %d in %s, %d of %d refused", l.most(), allowed(v.limit), got, playTime-stableTime, refused, sent)
			is.True(l.most() <= allowed(v.limit))
			is.True(float64(got) >= limitUse*v.limit*(playTime-stableTime).Seconds())
			if v.others > 0 {
				is.Equal(refused, 0)
			}
		})
	}
}
