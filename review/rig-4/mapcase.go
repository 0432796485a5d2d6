package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxFds and memoryMB are those of a small front machine.
	maxFds   = 4100
	memoryMB = 184
	// mapLength is the time for which the group works.
	mapLength = 100 * time.Second
	// firstKill is the time before the first kill, and killPause that between two. In the latter the slot has run again for eight seconds.
	firstKill, killPause = 12 * time.Second, 12 * time.Second
	// slotDown is the time after which a slot that was killed is started again.
	slotDown = 3500 * time.Millisecond
	// streams is the number of requests that run at once.
	streams = 6
)

// runMap kills the slot of the last rank when its engine has carried out an arm order, now and then, and returns the exit status.
func runMap(s *site, trouble bool, lag time.Duration) int {
	hosts := []string{"127.0.1.1", "127.0.1.11", "127.0.1.12", "127.0.1.13"}
	low, high, err := freePorts(hosts...)
	if err != nil {
		return failed(err)
	}
	g := newGroup(s.record, lag)
	var slots [ranks]*process
	apps := [ranks]string{}
	for n, r := range g.members {
		host := hosts[n+1]
		if apps[n], err = serveAt(host, g.handler(r, true)); err != nil {
			return failed(err)
		}
		listed, err := serveAt(host, g.handler(r, false))
		if err != nil {
			return failed(err)
		}
		s.store.put("servers/"+r.id, map[string]any{
			"service": "desk-lm", "addr": listed, "zone": "riga-a", "version": "v1", "slots": 12, "state": "ready", "coldLeftMs": 0, "stage": "both",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "seq": 1,
		})
	}
	s.store.put("op/config", map[string]any{
		"version": 2,
		"routes": []any{map[string]any{
			"name": "r-ask", "host": "desk.example", "prefix": "/ask/", "kind": "stream", "timeoutMs": 8000, "goalMs": 500, "priority": 1, "service": "desk-lm",
			"attempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 120,
		}},
		"services": []any{map[string]any{
			"name": "desk-lm", "healthPath": "/health", "maxConns": 258, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kvCapacity": 280000, "linkMbps": 180000.0, "stride": 1, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
				"read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": lag.Milliseconds(), "usual": map[string]any{"prompt": 835, "answer": 97},
				"sets": sets, "experts": experts, "places": places, "spare": spare, "expertMb": 2200.0, "expertShare": 0.85, "form_ms": 600.0,
			},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "school", "apiKeys": []string{"key-1"}, "priority": 1}},
	})
	f, err := s.startFront("front-riga-a-1", "riga-a", hosts[0], low, high, memoryMB, maxFds)
	if err != nil {
		return failed(err)
	}
	for n := range slots {
		slots[n], err = s.add(machine{
			name: fmt.Sprintf("side-riga-a-%d", n+1), role: "slot", host: hosts[n+1], zone: "riga-a", low: low, high: high, memoryMB: 152, descriptors: 2048,
			seed: s.seed, extra: fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = \"desk-lm\"", apps[n]),
		})
		if err == nil {
			err = slots[n].start()
		}
		if err != nil {
			return failed(err)
		}
	}
	ready, stopWaiting := context.WithTimeout(context.Background(), 10*time.Second)
	defer stopWaiting()
	if !awaitReady(ready, f.ready) {
		return failed(fmt.Errorf("the entry is not ready"))
	}
	var kills, arms atomic.Int64
	begun := time.Now()
	g.onArm = func(number int) {
		arms.Add(1)
		if number != ranks-1 || !trouble || time.Since(begun) < firstKill+time.Duration(kills.Load())*killPause {
			return
		}
		kills.Add(1)
		slots[number].kill()
		s.record.printf("the slot of rank %d was killed", number)
		time.AfterFunc(slotDown, func() {
			_ = slots[number].start()
			s.record.printf("the slot of rank %d was started again", number)
		})
	}
	go g.run()
	ctx, cancel := context.WithTimeout(context.Background(), mapLength)
	defer cancel()
	var asked, served atomic.Int64
	for range streams {
		go func() {
			for ctx.Err() == nil {
				if n := asked.Add(1); ask(ctx, f.callers, n) {
					served.Add(1)
				} else {
					time.Sleep(200 * time.Millisecond)
				}
			}
		}()
	}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		g.mu.Lock()
		violated := g.violated
		g.mu.Unlock()
		if violated {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s.record.printf("requests: %d sent, %d answered whole; arm orders: %d; kills: %d; passes: %d", asked.Load(), served.Load(), arms.Load(), kills.Load(), g.step)
	switch {
	case g.violated:
		return 1
	case arms.Load() == 0 || trouble && kills.Load() == 0:
		return failed(fmt.Errorf("the group has not switched its map"))
	}
	s.record.printf("MAP holds")
	return 0
}

// ask sends one request and reports whether its answer was whole.
func ask(ctx context.Context, address string, number int64) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/ask/2f", nil)
	if err != nil {
		return false
	}
	q.Host = "desk.example"
	for name, value := range map[string]string{
		"Attempt-Id": fmt.Sprintf("%016x", number), "Timeout-Ms": "8000", "Authorization": "Bearer key-1", "Model": "m", "Token-Count": "835,97",
		"Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%x:795", number),
	} {
		q.Header.Set(name, value)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil && r.StatusCode == http.StatusOK
}
