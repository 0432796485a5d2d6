package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// The times of the case of a withdrawn key, from the start of the traffic.
const (
	// copyAt is the time of the copy from which the store comes back, and withdrawAt when the key is taken away.
	copyAt, withdrawAt = 3 * time.Second, 4 * time.Second
	// awayAt and backAt are the begin and the end of the time in which the store is away.
	awayAt, backAt = 8 * time.Second, 8300 * time.Millisecond
	// addedAt is when a machine is added, and againAt when the administrator writes again what is lost.
	addedAt, againAt = 8500 * time.Millisecond, 10800 * time.Millisecond
	keyLength        = 14 * time.Second
	revoke           = 5 * time.Second
	heartbeat        = 1200 * time.Millisecond
	// askEvery is the time between two requests with the key to each machine that is ready.
	askEvery = 50 * time.Millisecond
)

// keyCase uses a key that was taken away.
type keyCase struct {
	site *site
	mu   sync.Mutex
	// sent holds when the requests with the key were sent, by ID, and answers what became of them by machine.
	sent    map[string]time.Time
	answers map[string]int
	// ackedAt is the time of the store's answer to the configuration that took the key away.
	ackedAt time.Time
	// late holds the requests that ran though they were sent later than allowed.
	late []string
}

// serve is the engine, which runs each request at once.
func (c *keyCase) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != "i-1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	c.mu.Lock()
	at, withKey := c.sent[id]
	if withKey && !c.ackedAt.IsZero() && at.Sub(c.ackedAt) > revoke {
		c.late = append(c.late, id)
		c.site.record.printf("run %s, sent %.2f s after the ack of the configuration that took its key away; Tenant: %s", id, at.Sub(c.ackedAt).Seconds(), r.Header.Get("Tenant"))
	}
	c.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Engine-Seal", "s."+id)
	_, _ = io.WriteString(w, "done")
}

// configuration returns a configuration with some keys.
func configuration(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-look", "host": "desk.example", "prefix": "/look/", "kind": "unsafe", "timeoutMs": 600, "goalMs": 100, "priority": 2, "service": "field-api", "attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "field-api", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "survey", "apiKeys": keys, "priority": 1}},
	}
}

// use sends requests with the key to a machine while it is ready.
func (c *keyCase) use(ctx context.Context, f *front) {
	if !awaitReady(ctx, f.ready) {
		return
	}
	c.site.record.printf("%s is ready", f.name)
	client := &http.Client{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		began := time.Now()
		id := fmt.Sprintf("%s-%d", f.name, n)
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.callers+"/look/2f", nil)
		if err != nil {
			return
		}
		q.Host = "desk.example"
		q.Header.Set("Attempt-Id", id)
		q.Header.Set("Timeout-Ms", "600")
		q.Header.Set("Authorization", "Bearer key-2")
		c.mu.Lock()
		c.sent[id] = began
		c.mu.Unlock()
		status := "no answer"
		if r, err := client.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			status = r.Status
		}
		c.mu.Lock()
		key := f.name + ": " + status
		if c.answers[key]++; c.answers[key] == 1 {
			c.site.record.printf("%s, first with %s", key, id)
		}
		c.mu.Unlock()
		time.Sleep(time.Until(began.Add(askEvery)))
	}
}

// runKey plays the case and returns the exit status.
func runKey(s *site, trouble bool) int {
	c := &keyCase{site: s, sent: map[string]time.Time{}, answers: map[string]int{}}
	address, err := serveAt("127.0.0.1", http.HandlerFunc(c.serve))
	if err != nil {
		return failed(err)
	}
	beat := func(seq int) {
		s.store.put("servers/i-1", map[string]any{"service": "field-api", "addr": address, "zone": "riga-a", "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": seq})
	}
	beat(1)
	s.store.put("op/config", configuration(2, "key-1", "key-2"))
	hosts := []string{"127.0.2.1", "127.0.2.2"}
	low, high, err := freePorts(hosts...)
	if err != nil {
		return failed(err)
	}
	first, err := s.startFront("front-riga-a-1", "riga-a", hosts[0], low, high, memoryMB, maxFds)
	if err != nil {
		return failed(err)
	}
	ready, stopWaiting := context.WithTimeout(context.Background(), 10*time.Second)
	defer stopWaiting()
	if !awaitReady(ready, first.ready) {
		return failed(fmt.Errorf("the entry is not ready"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyLength)
	defer cancel()
	begun := time.Now()
	go func() {
		for seq := 2; ctx.Err() == nil; seq++ {
			time.Sleep(heartbeat)
			if !s.store.gone() {
				beat(seq)
			}
		}
	}()
	go c.use(ctx, first)
	until := func(at time.Duration) { time.Sleep(time.Until(begun.Add(at))) }
	until(copyAt)
	kept := s.store.save()
	s.record.printf("a copy of the store is made")
	until(withdrawAt)
	s.store.put("op/config", configuration(3, "key-1"))
	c.mu.Lock()
	c.ackedAt = time.Now()
	c.mu.Unlock()
	s.record.printf("version 3, which takes key-2 away, is acknowledged")
	if trouble {
		until(awayAt)
		s.store.leave()
		s.record.printf("the store is away")
		until(backAt)
		s.store.comeBack(kept)
		s.record.printf("the store is back from the copy, which is %.1f s old", (backAt - copyAt).Seconds())
	}
	until(addedAt)
	second, err := s.startFront("front-riga-b-1", "riga-b", hosts[1], low, high, memoryMB, maxFds)
	if err != nil {
		return failed(err)
	}
	s.record.printf("a front machine is added in riga-b")
	go c.use(ctx, second)
	if trouble {
		until(againAt)
		s.store.put("op/config", configuration(3, "key-1"))
		s.record.printf("the administrator has written version 3 again")
	}
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.record.printf("answers to requests with the key: %v", c.answers)
	s.record.printf("runs of requests that were sent later than %d s after the ack: %d", int(revoke.Seconds()), len(c.late))
	if len(c.late) > 0 {
		s.record.printf("CONFIG is broken")
		return 1
	}
	s.record.printf("CONFIG holds")
	return 0
}
