package edge

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
)

const (
	coldTime, coldRate = 3 * time.Second, 15
	coldOver           = 1.5
	coldSlack          = 5
	// coldAllowed is the largest number of requests that a cold target may get in a second: the bound, which is 27.5.
	coldAllowed = 27
	// coldUse is the least part of its rate that a cold target gets while there are more requests.
	coldUse = 0.8
)

// coldSite is a site with a target that is cold after each start.
type coldSite struct {
	*rig
	mu sync.Mutex
	// arrivals are the times of the requests that reached the cold target.
	arrivals []time.Time
}

func newColdSite(t *testing.T, entries int, bound site.ColdBound, warm int) *coldSite {
	t.Helper()
	c := &coldSite{rig: &rig{coldS: coldTime.Seconds(), coldPerS: coldRate, bound: bound}}
	var handlers []http.HandlerFunc
	for range warm {
		handlers = append(handlers, serveDone)
	}
	c.startSite(t, entries, time.Minute, handlers...)
	// Entries issue no permits for some time after they have started.
	time.Sleep(3 * time.Second)
	return c
}

func (c *coldSite) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	serveDone(w, r)
}

// comeUp starts a cold target and keeps its record up to date until the returned function is called.
func (c *coldSite) comeUp(t *testing.T) (x *target, stop func()) {
	t.Helper()
	x = &target{id: "i-cold", born: 7, handle: c.serve}
	x.listen(t, loopback.FreeAddress(t).String())
	t.Cleanup(func() { x.Close() })
	warmAt := time.Now().Add(coldTime)
	c.renew(x, warmAt)
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
				c.renew(x, warmAt)
			}
		}
	}()
	return x, func() { close(done); <-ended }
}

// renew writes the record of a target that is cold until a time.
func (c *coldSite) renew(x *target, warmAt time.Time) {
	c.store.put("servers/"+x.id, map[string]any{
		"service": "holds", "addr": x.Listener.Addr().String(), "zone": "c0", "slots": 6, "state": "ready", "born": x.born,
		"coldLeftMs": max(time.Until(warmAt).Milliseconds(), 0),
	})
}

// most returns the largest number of arrivals in a second from a time until another.
func (c *coldSite) most(from, to time.Time) (most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, first := range c.arrivals {
		if first.Before(from) || !first.Before(to) {
			continue
		}
		n := 0
		for _, at := range c.arrivals[i:] {
			if at.Before(to) && at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func (c *coldSite) arrivalsIn(from, to time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// load sends requests at a rate through random entries for a time, and returns how many there were and how many were refused.
func (c *coldSite) load(rate float64, duration time.Duration) (sent, refused int) {
	var wg sync.WaitGroup
	var count atomic.Int64
	var reasons sync.Map
	defer func() {
		reasons.Range(func(reason, n any) bool {
			c.t.Logf("refused %d times: %v", n.(*atomic.Int64).Load(), reason)
			return true
		})
	}()
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for end := time.Now().Add(duration); time.Now().Before(end); <-ticker.C {
		e := c.entries[rand.IntN(len(c.entries))]
		sent++
		wg.Go(func() {
			if a := c.callAt(e, "POST", "/once/", nil); a.status != http.StatusOK {
				count.Add(1)
				n, _ := reasons.LoadOrStore(fmt.Sprint(a.status, " ", strings.TrimSpace(a.body), a.err), &atomic.Int64{})
				n.(*atomic.Int64).Add(1)
			}
		})
	}
	wg.Wait()
	return sent, int(count.Load())
}

// TestColdTargetGetsWhatItSustains counts the requests of all entries that reach a target which has just started, and after it is
// warm. Without the bounds in the settings it gets whatever its load allows.
func TestColdTargetGetsWhatItSustains(t *testing.T) {
	const rate = 250
	bound := site.ColdBound{Over: coldOver, Slack: coldSlack}
	tests := []struct {
		name    string
		bound   site.ColdBound
		entries int
		bounded bool
	}{{"nine entries", bound, 9, true}, {"one entry", bound, 1, true}, {"no bound", site.ColdBound{}, 9, false}}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			c := newColdSite(t, v.entries, v.bound, 2)
			began := time.Now()
			_, stop := c.comeUp(t)
			defer stop()
			sent, refused := c.load(rate, 2*coldTime)
			most, used := c.most(began, began.Add(coldTime)), c.arrivalsIn(began, began.Add(coldTime))
			// Until the end of the cold time is known: the record is read up to half a second after it was written.
			warm := c.arrivalsIn(began.Add(coldTime+time.Second), began.Add(coldTime+2*time.Second))
			t.Logf("at most %d in a second, %d in the cold time, %d in a second after it; %d of %d refused", most, used, warm, refused, sent)
			is.Equal(refused, 0)
			is.True(warm > rate/6)
			if v.bounded {
				is.True(most <= coldAllowed)
				is.True(float64(used) >= coldUse*coldRate*coldTime.Seconds())
			} else {
				is.True(most > coldAllowed)
			}
		})
	}
}

// TestTargetRestartsUnderTheSameID ends a target and starts it at the same address with the same record, which says that it is warm.
func TestTargetRestartsUnderTheSameID(t *testing.T) {
	is := is.New(t)
	c := newColdSite(t, 9, site.ColdBound{Over: coldOver, Slack: coldSlack}, 2)
	x, stop := c.comeUp(t)
	stop()
	c.renew(x, time.Now())
	c.load(100, coldTime+time.Second)
	address := x.Listener.Addr().String()
	go c.load(250, 2*time.Second+coldTime)
	time.Sleep(time.Second)
	x.Close()
	time.Sleep(500 * time.Millisecond)
	x.listen(t, address)
	back := time.Now()
	time.Sleep(coldTime)
	most, used := c.most(back, back.Add(2*time.Second)), c.arrivalsIn(back, back.Add(2*time.Second))
	t.Logf("at most %d in a second, %d in two seconds after the restart", most, used)
	is.True(most <= coldAllowed)
	is.True(used > 0)
}

// TestFaultyEntriesKeepColdTargetsWithinTheirBound freezes, restarts and cuts off entries while a target is cold.
func TestFaultyEntriesKeepColdTargetsWithinTheirBound(t *testing.T) {
	tests := []struct {
		name  string
		fault func(c *coldSite)
	}{
		{"cut off from each other", func(c *coldSite) { c.split.Store(true) }},
		{"frozen", func(c *coldSite) {
			for _, e := range c.entries[:3] {
				e.frozen.Lock()
				time.AfterFunc(1500*time.Millisecond, e.frozen.Unlock)
			}
		}},
		{"restarted", func(c *coldSite) {
			for _, e := range c.entries[1:3] {
				e.stop()
				<-e.ended
				c.start(e)
			}
		}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			c := newColdSite(t, 9, site.ColdBound{Over: coldOver, Slack: coldSlack}, 2)
			began := time.Now()
			_, stop := c.comeUp(t)
			defer stop()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				time.Sleep(700 * time.Millisecond)
				v.fault(c)
			}()
			sent, refused := c.load(250, coldTime)
			<-ended
			most, used := c.most(began, began.Add(coldTime)), c.arrivalsIn(began, began.Add(coldTime))
			t.Logf("at most %d in a second, %d in the cold time; %d of %d refused", most, used, refused, sent)
			is.True(most <= coldAllowed)
		})
	}
}

// TestAllTargetsCold checks that callers beyond what cold targets sustain are refused at once and told when to return.
func TestAllTargetsCold(t *testing.T) {
	is := is.New(t)
	c := newColdSite(t, 3, site.ColdBound{Over: coldOver, Slack: coldSlack}, 0)
	_, stop := c.comeUp(t)
	defer stop()
	time.Sleep(500 * time.Millisecond)
	refused := 0
	for range 40 {
		began := time.Now()
		a := c.callAt(c.entries[rand.IntN(3)], "POST", "/once/", nil)
		if a.status == http.StatusOK {
			continue
		}
		refused++
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(time.Since(began) < 300*time.Millisecond)
		var after float64
		_, err := fmt.Sscan(a.header.Get("Retry-After"), &after)
		is.NoErr(err)
		is.True(after > 0 && after <= 1)
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d of 40 refused", refused)
	is.True(refused > 10 && refused < 40)
}
