package edge

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitWithFaultyEntries counts the requests that reach a target with a limit while entries fail.
func TestLimitWithFaultyEntries(t *testing.T) {
	const limit, entries, rate, playTime = 2, 4, 40, 12 * time.Second
	tests := []struct {
		name string
		// allowed is the largest number of requests in 4 s, and used the least number in the last 9 s.
		allowed, used int
		fault         func(l *limited)
	}{
		// Each part keeps the limit by itself.
		{"entries cut off from each other", 2 * allowed(limit), 9 * limit, func(l *limited) {
			l.split.Store(true)
		}},
		{"entries cut off for moments", allowed(limit), 5 * limit, func(l *limited) {
			for i := range 8 {
				l.split.Store(i%2 == 0)
				time.Sleep(time.Second)
			}
		}},
		{"entries that freeze in turn", allowed(limit), 5 * limit, func(l *limited) {
			for _, e := range l.entries {
				e.frozen.Lock()
				time.Sleep(1500 * time.Millisecond)
				e.frozen.Unlock()
				time.Sleep(500 * time.Millisecond)
			}
		}},
		{"entries that restart in turn", allowed(limit), 5 * limit, func(l *limited) {
			for _, e := range l.entries[1:] {
				e.stop()
				<-e.ended
				l.start(e)
			}
		}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l := newLimited(t, entries, 2, limit)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				time.Sleep(time.Second)
				v.fault(l)
			}()
			began := time.Now()
			sent, refused := l.load("/safe/", rate, playTime)
			<-ended
			got := l.arrivalsIn(began.Add(stableTime), began.Add(playTime))
			t.Logf("at most %d requests in 4 s (allowed %d), %d in %s, %d of %d refused", l.most(), v.allowed, got, playTime-stableTime, refused, sent)
			is.True(l.most() <= v.allowed)
			is.True(got >= v.used)
		})
	}
}

// TestLimitChanges checks that a target gets what it says at the moment: less, nothing, more, and all that comes.
func TestLimitChanges(t *testing.T) {
	const rate, phase = 40, 10 * time.Second
	is := is.New(t)
	t.Parallel()
	l := newLimited(t, 4, 2, 20)
	phases := []struct {
		limit float64
		// least and most bound the requests in the second half of the phase.
		least, most int
	}{{20, 60, 110}, {1, 3, 11}, {0, 0, 3}, {5, 20, 35}, {-1, 40, 250}}
	for _, v := range phases {
		l.setLimit(v.limit)
		began := time.Now()
		_, refused := l.load("/once/", rate, phase)
		got := l.arrivalsIn(began.Add(phase/2), began.Add(phase))
		t.Logf("limit %v: %d requests in %s, %d refused", v.limit, got, phase/2, refused)
		is.True(got >= v.least)
		is.True(got <= v.most)
		is.Equal(refused, 0)
	}
}

// TestRestartedTargetIsNotLimited restarts a target that had named a limit under a new ID.
func TestRestartedTargetIsNotLimited(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimited(t, 3, 1, 0)
	l.load("/once/", 20, 2*time.Second)
	l.setLimit(-1)
	x := l.targets[0]
	l.store.remove("servers/" + x.id)
	x.id = "i-new"
	l.registerTarget(x, 0, "ready")
	time.Sleep(time.Second)
	began := time.Now()
	_, refused := l.load("/once/", 20, 2*time.Second)
	is.Equal(refused, 0)
	is.True(l.arrivalsIn(began, time.Now()) >= 10)
}

// TestStartingEntryLearnsOfLimits starts an entry after a target has named its limit.
func TestStartingEntryLearnsOfLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimited(t, 2, 1, 0)
	l.load("/once/", 20, 3*time.Second)
	late := l.addEntry(2, time.Minute, l.entries[0].settings.Peers)
	l.entries = l.entries[:2]
	l.start(late)
	time.Sleep(time.Second)
	began := time.Now()
	for range 30 {
		is.Equal(l.callAt(late, "POST", "/once/", nil).status, http.StatusOK)
	}
	is.True(l.arrivalsIn(began, time.Now()) <= 2)
}

// TestRefusalAtTheLimitFitsTheRate checks what callers get when all targets of a service have a limit.
func TestRefusalAtTheLimitFitsTheRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l := newLimited(t, 2, 0, 1)
	refused := 0
	for i := range 60 {
		began := time.Now()
		a := l.callAt(l.entries[i%2], "POST", "/once/", nil)
		if a.status == http.StatusOK {
			continue
		}
		refused++
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(time.Since(began) < 300*time.Millisecond)
		var after float64
		_, err := fmt.Sscan(a.header.Get("Retry-After"), &after)
		is.NoErr(err)
		is.True(after > 0 && after <= 10)
		time.Sleep(20 * time.Millisecond)
	}
	is.True(refused > 40)
}

// TestGroupServesPastALimitedRank has a rank of a group refuse requests at its limit, which the other ranks take.
func TestGroupServesPastALimitedRank(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var refused atomic.Int64
	r := newRig(t, time.Minute, func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/warm/" {
			serveDone(w, q)
			return
		}
		refused.Add(1)
		w.Header().Set("Server-Limit", "2")
		refuse(w, q)
	}, serveDone)
	r.engine = map[string]any{"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}
	r.configure(2, testKey)
	// Afterwards the entry has read the configuration.
	time.Sleep(time.Second)
	for range 40 {
		is.Equal(r.call("POST", "/once/", nil).status, http.StatusOK)
		time.Sleep(50 * time.Millisecond)
	}
	t.Logf("%d requests refused by the limited rank", refused.Load())
	is.True(refused.Load() >= 1 && refused.Load() <= 10)
}
