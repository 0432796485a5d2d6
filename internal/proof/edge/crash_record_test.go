package edge

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// crashDelay is how long poisonBody runs before its target ends.
	crashDelay = 100 * time.Millisecond
	// minOutage and maxOutage bound the time until an ended target is back under a new ID at its address.
	minOutage, maxOutage = time.Second, 4 * time.Second
	// recordLifetime is the time after which the record of an ended target is removed.
	recordLifetime = 3600 * time.Millisecond
)

// recurrence is a site whose few targets end under one request, now and again all at once.
type recurrence struct {
	*crashes
	// silent makes connections of an ended target stay open without an answer until the target is back.
	silent bool
	// back is closed when a target, by number, is back; guarded by mu.
	back map[int]chan struct{}
}

func (c *recurrence) run(number int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if string(body) != poisonBody {
		serveDone(w, r)
		return
	}
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	time.Sleep(crashDelay)
	back := c.crash(number)
	if c.silent {
		<-back
	}
	resetConnection(w, r)
}

// crash ends a target, and returns a channel that is closed when it is back.
func (c *recurrence) crash(number int) <-chan struct{} {
	x := c.targets[number]
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[number] {
		return c.back[number]
	}
	c.down[number] = true
	c.ended = append(c.ended, time.Now())
	back := make(chan struct{})
	c.back[number] = back
	old, address := x.id, x.Listener.Addr().String()
	x.Listener.Close()
	time.AfterFunc(recordLifetime, func() { c.store.remove("servers/" + old) })
	time.AfterFunc(minOutage+rand.N(maxOutage-minOutage), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(back)
		x.listen(c.t, address)
		x.born++
		x.id = fmt.Sprintf("i-%d-%d", number, x.born)
		c.down[number] = false
		c.registerTarget(x, number, "ready")
	})
	return back
}

// newRecurrence starts a site with few targets and many entries.
func newRecurrence(t *testing.T, silent bool) *recurrence {
	t.Helper()
	const entries, targets = 9, 3
	c := &recurrence{crashes: &crashes{down: map[int]bool{}}, silent: silent, back: map[int]chan struct{}{}}
	handlers := make([]http.HandlerFunc, targets)
	for i := range targets {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) { c.run(i, w, r) }
	}
	c.rig = newSite(t, entries, time.Minute, handlers...)
	return c
}

// play lets three callers send poisonBody through random entries for playTime, with another request after each. It returns
// how many of the others were answered with 4xx.
func (c *recurrence) play(path string) (denied int64) {
	const callers, playTime = 3, 25 * time.Second
	var wg sync.WaitGroup
	var count atomic.Int64
	for n := range callers {
		wg.Go(func() {
			for i, end := 0, time.Now().Add(playTime); time.Now().Before(end); i++ {
				c.send(c.entries[rand.IntN(len(c.entries))], path, poisonBody)
				a := c.send(c.entries[rand.IntN(len(c.entries))], path, fmt.Sprintf("other %d %d", n, i))
				if a.status >= 400 && a.status < 500 {
					count.Add(1)
				}
				time.Sleep(rand.N(400 * time.Millisecond))
			}
		})
	}
	wg.Wait()
	c.t.Logf("%d targets ended, %d late retries, %d other requests denied", c.endedTargets(), c.lateRetries(), count.Load())
	return count.Load()
}

// TestRecurringCrashingRequest has the shape of the users' record of the BUDGET incident.
func TestRecurringCrashingRequest(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newRecurrence(t, false)
			is.Equal(c.play(path), int64(0))
			is.True(c.endedTargets() >= maxEnded)
			is.True(c.lateRetries() <= maxLateRetries)
		})
	}
}

// TestSilentlyCrashingRequest has targets that reset no connection when they end.
func TestSilentlyCrashingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newRecurrence(t, true)
	is.Equal(c.play("/safe/"), int64(0))
	is.True(c.lateRetries() <= maxLateRetries)
	is.True(c.endedTargets() <= maxEnded)
}
