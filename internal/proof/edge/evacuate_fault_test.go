package edge

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEvacuationSurvivesFaults evacuates a data centre while entries or the store fail. Without what the test name says, an entry
// would go on with what it knew before.
func TestEvacuationSurvivesFaults(t *testing.T) {
	tests := []struct {
		name string
		// before is called before the evacuation, and after two seconds after it.
		before, after func(c *evacuating)
	}{
		{"unreadable value", nil, func(c *evacuating) { c.store.putBytes(evacuationPrefix+"c0", []byte("\xff\x00{")) }},
		{"the watch misses it", func(c *evacuating) { c.store.dropEvents.Store(true) }, nil},
		{"store lost after it", nil, func(c *evacuating) { c.store.unavailable.Store(true) }},
		{"store lost before it, and regained", func(c *evacuating) {
			c.store.unavailable.Store(true)
			time.AfterFunc(2*time.Second, func() { c.store.unavailable.Store(false) })
		}, nil},
		{"entries cut off from the store", func(c *evacuating) {
			// One entry of each data centre keeps its connection.
			for _, e := range c.entries[3:] {
				e.storeCut.Store(true)
			}
		}, nil},
		{"entries cut off from each other", func(c *evacuating) { c.split.Store(true) }, nil},
		{"entries restart", nil, func(c *evacuating) {
			for _, e := range c.entries[1:4] {
				e.stop()
			}
			for _, e := range c.entries[1:4] {
				<-e.ended
				c.start(e)
			}
		}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newEvacuating(t, evacuationEntries, nil)
			time.Sleep(time.Second)
			defer c.load(c.entries, "/once/", "/safe/")()
			if v.before != nil {
				v.before(c)
			}
			is.True(c.used(0, 2*time.Second))
			at := c.evacuate("c0")
			time.Sleep(2 * time.Second)
			if v.after != nil {
				v.after(c)
			}
			time.Sleep(evacuationTime + time.Second)
			late, n := c.latest(0, at)
			t.Logf("last request %s after the evacuation, %d since", late, n)
			is.True(late <= evacuationTime)
			c.store.unavailable.Store(false)
			c.store.dropEvents.Store(false)
			c.store.remove(evacuationPrefix + "c0")
			is.True(c.used(0, evacuationTime))
		})
	}
}

// TestThawedEntriesKnowTheEvacuation freezes all entries while a data centre is evacuated. The requests that wait at them are sent after
// the thaw, so they must find out before.
func TestThawedEntriesKnowTheEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newEvacuating(t, evacuationEntries, nil)
	time.Sleep(time.Second)
	// With a slow store the requests would be sent before its answer.
	c.store.delay.Store(int64(150 * time.Millisecond))
	defer c.load(c.entries, "/once/", "/safe/")()
	time.Sleep(time.Second)
	for _, e := range c.entries {
		e.frozen.Lock()
	}
	// The watches that are open end without a change.
	time.Sleep(time.Second)
	at := c.evacuate("c0")
	time.Sleep(evacuationTime)
	for _, e := range c.entries {
		e.frozen.Unlock()
	}
	thawed := time.Now()
	time.Sleep(2 * time.Second)
	late, n := c.latest(0, at)
	t.Logf("%d requests after the thaw, the last %s after it", n, late)
	is.Equal(n, 0)
	_, served := c.latest(1, thawed)
	is.True(served > 0)
}

// TestAllCentresEvacuated checks that callers are refused at once, with the reason and the time to wait, whatever kind of service they
// ask for.
func TestAllCentresEvacuated(t *testing.T) {
	for _, engine := range []map[string]any{nil, {"stride": 4, "step_ms": 1, "per_seq_ms": 0.1, "sets": 2, "experts": 4, "places": 4}} {
		t.Run(fmt.Sprint(engine != nil), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newEvacuating(t, 3, nil)
			c.engine = engine
			c.configure(2, testKey)
			for i := range 3 {
				c.evacuate(fmt.Sprintf("c%d", i))
			}
			time.Sleep(2 * promptEvacuation)
			since := time.Now()
			for i := range 30 {
				began := time.Now()
				a := c.callAt(c.entries[i%3], "POST", "/once/", nil)
				is.NoErr(a.err)
				is.Equal(a.status, http.StatusServiceUnavailable)
				is.Equal(a.header.Get("Retry-After"), "1.000")
				is.Equal(strings.TrimSpace(a.body), "all data centres with targets of holds are evacuated")
				is.True(time.Since(began) < 300*time.Millisecond)
			}
			for i := range 3 {
				_, n := c.latest(i, since)
				is.Equal(n, 0)
			}
			c.store.remove(evacuationPrefix + "c1")
			c.await(func() bool { return c.call("POST", "/once/", nil).status == http.StatusOK })
		})
	}
}

// TestUnknownCentre evacuates data centres that nothing is in, among them more than a datagram has room for. All targets go on
// getting requests, and a known data centre among them is evacuated nevertheless.
func TestUnknownCentre(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newEvacuating(t, 6, nil)
	defer c.load(c.entries, "/once/")()
	for i := range 200 {
		c.evacuate(fmt.Sprintf("a-%03d-%s", i, strings.Repeat("x", 200)))
	}
	c.store.put(evacuationPrefix, "no name")
	time.Sleep(2 * time.Second)
	for i := range 3 {
		is.True(c.used(i, time.Second))
	}
	at := c.evacuate("c0")
	time.Sleep(3 * time.Second)
	late, _ := c.latest(0, at)
	is.True(late <= 2*promptEvacuation)
}

// TestStoreGoesBack restores earlier contents of the store, with a lower revision. Those contents apply, and so do later changes,
// whose revisions the entries have seen before with other contents.
func TestStoreGoesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newEvacuating(t, evacuationEntries, nil)
	defer c.load(c.entries, "/once/")()
	time.Sleep(time.Second)
	without := c.store.save()
	c.evacuate("c0")
	with := c.store.save()
	for i := range 20 {
		c.store.put("other/key", i)
	}
	time.Sleep(2 * time.Second)
	is.True(!c.used(0, 500*time.Millisecond))
	c.store.restore(without)
	is.True(c.used(0, evacuationTime)) // the key does not exist any more
	at := c.evacuate("c0")
	time.Sleep(evacuationTime + time.Second)
	late, n := c.latest(0, at)
	t.Logf("last request %s after the evacuation at an earlier revision, %d since", late, n)
	is.True(late <= 2*promptEvacuation) // sooner than the next full read
	c.store.remove(evacuationPrefix + "c0")
	is.True(c.used(0, evacuationTime))
	at = time.Now()
	c.store.restore(with)
	time.Sleep(evacuationTime + time.Second)
	late, n = c.latest(0, at)
	t.Logf("last request %s after the key is back, %d since", late, n)
	is.True(late <= evacuationTime)
}

// TestEvacuationNeedsTheSetting checks that without the setting no call lists evacuated data centres, and that their keys are ignored.
func TestEvacuationNeedsTheSetting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newSite(t, 3, time.Minute, serveDone)
	r.store.put(evacuationPrefix+"c0", "x")
	time.Sleep(6 * time.Second)
	for _, e := range r.entries {
		is.Equal(r.callAt(e, "POST", "/once/", nil).status, http.StatusOK)
	}
	is.Equal(r.store.evacuationLists.Load(), int64(0))
}

// TestFaultyRecordsAffectNoOthers writes records of targets with a fault in each field beside a good one. Before, one with the address
// of another protocol ended each entry that was to pass it on.
func TestFaultyRecordsAffectNoOthers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newSite(t, 3, time.Minute, serveDone)
	good := map[string]any{"service": "holds", "addr": r.targets[0].Listener.Addr().String(), "zone": "c0", "slots": 6, "state": "ready", "born": 1}
	values := []any{nil, 7, []any{1}, strings.Repeat("x", 300<<10), 1e300, "unknown", "[2001:db8::1]:80", -1, "a\nb"}
	number := 0
	for field := range good {
		for _, value := range values {
			record := map[string]any{}
			for name, v := range good {
				record[name] = v
			}
			record[field] = value
			if field != "zone" && (field != "born" || value != nil) {
				number++
				r.store.put(fmt.Sprintf("servers/x-%d", number), record)
			}
		}
	}
	r.store.putBytes("servers/bytes", []byte("\xff\x00"))
	r.store.put("servers/"+strings.Repeat("y", 3000), good)
	began := time.Now()
	statuses := []int{}
	for time.Since(began) < 6*time.Second {
		for _, e := range r.entries {
			statuses = append(statuses, r.callAt(e, "POST", "/once/", nil).status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.True(!slices.ContainsFunc(statuses, func(s int) bool { return s != http.StatusOK }))
}
