package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// drainTime is the bound drainMs of the deployment.
	drainTime = 2 * time.Second
	// copyAge is the age of the copy that the store comes back from, and awayTime the time for which it is away.
	copyAge, awayTime = 3 * time.Second, 400 * time.Millisecond
	// drillDelay is the time from the acknowledgement of an engine's drain to the drill, and serveTime that to its exit.
	drillDelay, serveTime = 2100 * time.Millisecond, 3700 * time.Millisecond
	// warmTime is the time before the drain, and restTime that after the exit.
	warmTime, restTime = 4500 * time.Millisecond, 2 * time.Second
	// noticeTime is the time in which an entry learns of a change.
	noticeTime = time.Second
	// entryCount is the number of entries. Each has callerCount connections of consumers, with a pause after each answer.
	entryCount, callerCount = 9, 2
	callerPause             = 500 * time.Millisecond
)

// playDrill lets an engine drain and exit as planned. While it still serves, the store is away for a moment and comes back from a copy
// in which the engine is ready. No request may reach the engine any more.
func playDrill(p *play) (broken bool, err error) {
	s, err := newStore(freeAddress())
	if err != nil {
		return false, err
	}
	p.atEnd(s.leave)
	var engines []*engine
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "holds", zone: "riga-a", address: freeAddress(), work: 300 * time.Millisecond, slots: 12, store: s, record: p.record}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	s.put("op/config", map[string]any{
		"version":  7,
		"services": []any{map[string]any{"name": "holds", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"routes": []any{map[string]any{
			"name": "hold-confirm", "host": "desk.example", "prefix": "/hold/", "kind": "unsafe", "timeoutMs": 2000, "goalMs": 500, "priority": 2, "service": "holds", "attempts": 1,
		}},
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "school", "apiKeys": []string{"k-1"}, "priority": 1}},
	})
	entries, err := startEntries(p, entryCount, s.address)
	if err != nil {
		return false, err
	}
	c := &consumers{host: "desk.example", path: "/hold/room", key: "k-1", timeout: 2 * time.Second, record: p.record, ends: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, e := range entries {
		done.Go(func() { c.run(ctx, e.front, callerCount, callerPause) })
	}
	defer func() { cancel(); done.Wait() }()

	time.Sleep(warmTime)
	// The copy of the drill is taken shortly before the drain.
	copied := s.copyOf()
	p.record.add("copied", "revision", copied.revision)
	time.Sleep(copyAge - drillDelay)
	left := engines[2]
	if !left.drain() {
		return false, fmt.Errorf("the store has not acknowledged the drain")
	}
	drained := time.Now()
	p.record.add("drain acknowledged", "engine", left.id)
	time.Sleep(time.Until(drained.Add(drillDelay)))
	before := left.record.between(left.id, drained.Add(noticeTime), time.Now())
	if p.trouble {
		s.leave()
		p.record.add("store away")
		time.Sleep(awayTime)
		s.restore(copied)
		if err := s.open(); err != nil {
			return false, err
		}
		p.record.add("store back", "revision", copied.revision)
	}
	time.Sleep(time.Until(drained.Add(serveTime)))
	left.exit()
	time.Sleep(restTime)
	cancel()
	done.Wait()

	late := p.record.between(left.id, drained.Add(drainTime), time.Now())
	lost := 0
	for _, id := range late {
		status := c.end(id)
		if status < 200 || status > 299 {
			lost++
		}
		p.record.add("late", "engine", left.id, "id", id, "status", status)
	}
	p.record.add("result", "sent", c.sent.Load(), "beforeDrill", len(before), "late", len(late), "lost", lost)
	fmt.Printf("%d requests sent; at %s: %d from %s after its drain to the drill, %d later than %s after its drain, %d of these not answered with success\n",
		c.sent.Load(), left.id, len(before), noticeTime, len(late), drainTime, lost)
	return len(late) > 0, nil
}
