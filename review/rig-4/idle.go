package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case of idle channels are those of slepnis-riga-grown, its sheet and its settings.
const (
	// consumersPerSecond come to the one front machine that is left: a fifth of the 289 requests a second of the sheet.
	consumersPerSecond = 60
	// maxFds and memoryMB are those of its smaller front machines.
	maxFds        = 4100
	memoryMB      = 184
	idleTimeoutMs = 15000
	// timeLimit is that of hold-release, and the time that consumers allow a new channel.
	timeLimit = time.Second
	stable    = 4 * time.Second
	// manyConsumers is the number of consumers of the rule RECOVER.
	manyConsumers = 7
	length        = 95 * time.Second
)

// trial is what became of one consumer's new channel.
type trial struct {
	at time.Time
	// taken is set if the node answered within the time limit, or closed the channel.
	taken bool
}

// idleCase lets consumers keep their channels open after the answer, or close them without the disruption.
type idleCase struct {
	site    *site
	front   *front
	trouble bool
	mu      sync.Mutex
	trials  []trial
	// readyAt holds the times of the answers 200 to the readiness check.
	readyAt  []time.Time
	open     atomic.Int64
	closed   atomic.Int64
	statuses map[string]int
}

// consume is one consumer: it opens a channel, sends a request and reads the answer. It keeps the channel until the node closes it, or
// closes it itself without the disruption.
func (c *idleCase) consume(ctx context.Context, number int) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", c.front.callers, timeLimit)
	if err != nil {
		c.end(began, false, "no connection", number)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /free/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %016x\r\nTimeout-Ms: 1000\r\nAuthorization: Bearer key-1\r\n\r\n", number)
	_ = conn.SetReadDeadline(began.Add(timeLimit))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		status := "closed without an answer"
		if e, ok := err.(net.Error); ok && e.Timeout() {
			status = "no answer in the time limit"
		}
		c.end(began, status != "no answer in the time limit", status, number)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	c.end(began, true, fmt.Sprintf("status %d", response.StatusCode), number)
	if !c.trouble {
		return
	}
	c.open.Add(1)
	defer c.open.Add(-1)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetReadDeadline(time.Time{})
	if _, err := reader.ReadByte(); err != nil && ctx.Err() == nil {
		c.closed.Add(1)
	}
}

func (c *idleCase) end(at time.Time, taken bool, status string, number int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trials = append(c.trials, trial{at, taken})
	c.statuses[status]++
	if !strings.HasPrefix(status, "status 200") || number%600 == 0 {
		c.site.record.printf("request %016x %s after %.3f s", number, status, time.Since(at).Seconds())
	}
}

// check asks once a second whether the node is ready, on a kept channel as an ordinary HTTP client does.
func (c *idleCase) check(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		began := time.Now()
		status := "no answer"
		if r, err := client.Get("http://" + c.front.ready + "/dragonflydeal/ready"); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			status = r.Status
			if r.StatusCode == http.StatusOK {
				c.mu.Lock()
				c.readyAt = append(c.readyAt, time.Now())
				c.mu.Unlock()
			}
		}
		c.site.record.printf("ready: %s; channels that consumers keep open: %d, closed by the node: %d; runs: descriptors of the entry: %d, memory %s",
			status, c.open.Load(), c.closed.Load(), c.descriptors(), c.resident())
		time.Sleep(time.Second - time.Since(began))
	}
}

// descriptors returns the number of descriptors of the entry.
func (c *idleCase) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.front.command.Process.Pid))
	return len(list)
}

// resident returns the memory of the entry.
func (c *idleCase) resident() string {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.front.command.Process.Pid))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(value)
		}
	}
	return "unknown"
}

// broken returns the longest time in which the node said that it was ready and took no new channel, and how many consumers tried then.
func (c *idleCase) broken() (longest time.Duration, tries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var since time.Time
	count := 0
	end := func(at time.Time) {
		if since.IsZero() {
			return
		}
		ready := 0
		for _, t := range c.readyAt {
			if t.After(since) && t.Before(at) {
				ready++
			}
		}
		if d := at.Sub(since); ready >= int(d.Seconds())-1 && d > longest {
			longest, tries = d, count
		}
	}
	for _, t := range c.trials {
		switch {
		case t.taken:
			end(t.at)
			since, count = time.Time{}, 0
		case since.IsZero():
			since, count = t.at, 1
		default:
			count++
		}
	}
	if n := len(c.trials); n > 0 {
		end(c.trials[n-1].at.Add(timeLimit))
	}
	return longest, tries
}

// runIdle plays the case and returns the exit status.
func runIdle(s *site, trouble bool) int {
	e := &engine{id: "i-1"}
	address, err := serveAt("127.0.0.1", e)
	if err != nil {
		return failed(err)
	}
	s.store.put("servers/i-1", map[string]any{"service": "holds", "addr": address, "zone": "riga-a", "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1})
	s.store.put("op/config", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-free", "host": "desk.example", "prefix": "/free/", "kind": "safe", "timeoutMs": 1000, "goalMs": 100, "priority": 2, "service": "holds", "attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "holds", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeoutMs},
		"tenants":  []any{map[string]any{"name": "school", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	low, high, err := freePorts("127.0.0.1")
	if err != nil {
		return failed(err)
	}
	f, err := s.startFront("front-riga-a-1", "127.0.0.1", low, high, memoryMB, maxFds)
	if err != nil {
		return failed(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), length+15*time.Second)
	defer cancel()
	ready, stopWaiting := context.WithTimeout(ctx, 10*time.Second)
	defer stopWaiting()
	if !awaitReady(ready, f.ready) {
		return failed(fmt.Errorf("the entry is not ready"))
	}
	c := &idleCase{site: s, front: f, trouble: trouble, statuses: map[string]int{}}
	go c.check(ctx)
	ticker := time.NewTicker(time.Second / consumersPerSecond)
	defer ticker.Stop()
	for number, end := 1, time.Now().Add(length); time.Now().Before(end); number++ {
		select {
		case <-f.ended:
			s.record.printf("the entry ended by itself")
			return 1
		case <-ticker.C:
		}
		go c.consume(ctx, number)
	}
	time.Sleep(timeLimit + 100*time.Millisecond)
	longest, tries := c.broken()
	s.record.printf("answers: %v; runs at the engine: %d", c.statuses, e.runs.Load())
	s.record.printf("longest time in which the node said that it was ready and took no new channel: %.1f s, in which %d consumers tried", longest.Seconds(), tries)
	if longest >= stable && tries >= manyConsumers {
		s.record.printf("RECOVER is broken")
		return 1
	}
	s.record.printf("RECOVER holds")
	return 0
}
