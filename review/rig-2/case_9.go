package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxFds is that of the settings.
	maxFds = 4100
	// idleLimit is idleTimeoutMs of the configuration.
	idleLimit = 15 * time.Second
	// stable is stableMs of the settings.
	stable = 3 * time.Second
	// idleRate is the number of new channels a second.
	idleRate = 60
	// triers is the number of consumers that try at the end.
	triers = 10
)

// channelsLeftIdle has consumers that leave their channels open after the answer. RECOVER: a machine that says it is ready takes new
// channels.
func channelsLeftIdle(r *rig) (broken bool, err error) {
	if err := r.store.configure([]string{"holds"}, route("find", "safe", "holds", 2)); err != nil {
		return false, err
	}
	for range 2 {
		if err := r.startEngine("holds", "a", 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	e, err := r.startEntry("a")
	if err != nil {
		return false, err
	}
	if err := unix.Prlimit(e.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFds, Max: maxFds}, nil); err != nil {
		return false, err
	}
	var ready atomic.Int64
	done := make(chan struct{})
	defer close(done)
	go r.askReady(e, &ready, done)
	var channels []net.Conn
	ticker := time.NewTicker(time.Second / idleRate)
	for i := range maxFds {
		<-ticker.C
		c, answered := r.ask(e, fmt.Sprintf("find-%d", i))
		if !answered {
			break
		}
		if !r.trouble {
			c.Close()
			continue
		}
		channels = append(channels, c)
	}
	ticker.Stop()
	r.note("%d channels are open and idle", len(channels))
	time.Sleep(idleLimit + time.Second)
	r.note("all of them have been idle for longer than idleTimeoutMs")
	before := ready.Load()
	var taken atomic.Int64
	var wg sync.WaitGroup
	for i := range triers {
		wg.Go(func() {
			for end, n := time.Now().Add(stable+time.Second), 0; time.Now().Before(end); n++ {
				if c, answered := r.ask(e, fmt.Sprintf("late-%d-%d", i, n)); answered {
					taken.Add(1)
					c.Close()
				}
			}
		})
	}
	wg.Wait()
	r.note("%d consumers tried for %v: %d answers; the entry said %d times that it is ready", triers, stable+time.Second, taken.Load(), ready.Load()-before)
	for _, c := range channels {
		c.Close()
	}
	return taken.Load() == 0 && ready.Load()-before >= 3, nil
}

// ask opens a channel, sends a request and reads the answer, whatever its status is. A channel without one is given up after a second.
func (r *rig) ask(e *entry, id string) (c net.Conn, answered bool) {
	c, err := net.DialTimeout("tcp4", e.front.String(), time.Second)
	if err != nil {
		r.note("consumer gives up %s: %v", id, err)
		return nil, false
	}
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /find/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTimeout-Ms: 1000\r\n\r\n", host, id)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.note("consumer gives up %s: %v", id, err)
		c.Close()
		return nil, false
	}
	r.note("consumer gets for %s: status %d", id, response.StatusCode)
	return c, true
}

// askReady asks once a second whether the entry is ready, as the platform does, on a kept channel, and counts the answers of 200.
func (r *rig) askReady(e *entry, ready *atomic.Int64, done chan struct{}) {
	client := http.Client{Timeout: time.Second}
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		response, err := client.Get("http://" + e.ready.String() + "/dragonflydeal/ready")
		if err != nil {
			r.note("ready: %v", err)
			continue
		}
		if response.Body.Close(); response.StatusCode == http.StatusOK {
			ready.Add(1)
		}
	}
}
