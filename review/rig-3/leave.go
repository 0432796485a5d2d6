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
	// noticeTime is the time in which an entry learns of a change.
	noticeTime = time.Second
	// strikeDelay is the time from the acknowledgement of an engine's drain to the disruption, and serveTime that to its exit.
	strikeDelay, serveTime = 2100 * time.Millisecond, 3700 * time.Millisecond
	// warmTime is the time before the drain, and restTime that after the exit.
	warmTime, restTime = 4500 * time.Millisecond, 2 * time.Second
	// lateTime is the time after which a write is done whose answer is lost, and lateDelay that from the drain to then.
	lateTime, lateDelay = 6 * time.Second, 2500 * time.Millisecond
	// copyAge is the age of the copy that the store comes back from, and awayTime the time for which it is away.
	copyAge, awayTime = 3 * time.Second, 400 * time.Millisecond
	// entryCount is the number of entries. Each has callerCount connections of consumers, with a pause after each answer.
	entryCount, callerCount = 9, 2
	callerPause             = 500 * time.Millisecond
)

// disruption makes the store list an engine as ready that has drained.
type disruption struct {
	// prepare is called before the drain, and returns the time to it.
	prepare func(p *play, s *store, left *engine) (wait time.Duration)
	// strike is called strikeDelay after the drain.
	strike func(p *play, s *store) error
}

// playLateWrite has a write of the engine before its drain done late, without an answer.
func playLateWrite(p *play) (broken bool, err error) {
	return playLeave(p, disruption{
		prepare: func(p *play, s *store, left *engine) time.Duration {
			s.loseAnswer(left.key(), lateTime)
			for s.expectsLoss(left.key()) {
				time.Sleep(watchInterval)
			}
			p.record.add("answer lost", "engine", left.id)
			return lateTime - lateDelay
		},
		strike: func(*play, *store) error { return nil },
	})
}

// playDrill has the store away for a moment, and back from a copy of before the drain.
func playDrill(p *play) (broken bool, err error) {
	var copied contents
	return playLeave(p, disruption{
		prepare: func(p *play, s *store, _ *engine) time.Duration {
			copied = s.copyOf()
			p.record.add("copied", "revision", copied.revision)
			return copyAge - strikeDelay
		},
		strike: func(p *play, s *store) error {
			s.leave()
			p.record.add("store away")
			time.Sleep(awayTime)
			s.restore(copied)
			p.record.add("store back", "revision", copied.revision)
			return s.open()
		},
	})
}

// playLeave lets one of three engines drain and exit as planned, with a disruption of the store between. No request may reach the engine
// later than drainTime after the store has acknowledged its drain.
func playLeave(p *play, d disruption) (broken bool, err error) {
	s, engines, err := startService(p)
	if err != nil {
		return false, err
	}
	c, stop, err := startConsumers(p, s)
	if err != nil {
		return false, err
	}
	defer stop()
	time.Sleep(warmTime)
	left := engines[len(engines)-1]
	if p.trouble {
		time.Sleep(d.prepare(p, s, left))
	}
	if !left.drain() {
		return false, fmt.Errorf("the store has not acknowledged the drain")
	}
	drained := time.Now()
	p.record.add("drain acknowledged", "engine", left.id)
	time.Sleep(time.Until(drained.Add(strikeDelay)))
	if p.trouble {
		if err := d.strike(p, s); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(drained.Add(serveTime)))
	left.exit()
	time.Sleep(restTime)
	stop()
	return judgeLeave(p, c, left, drained), nil
}

// startService starts the store and three engines of a plain service, and writes a configuration.
func startService(p *play) (s *store, engines []*engine, err error) {
	if s, err = newStore(freeAddress()); err != nil {
		return nil, nil, err
	}
	p.atEnd(s.leave)
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "holds", zone: "riga-a", address: freeAddress(), work: 300 * time.Millisecond, slots: 12, store: s, record: p.record}
		if err := e.start(); err != nil {
			return nil, nil, err
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
	return s, engines, nil
}

// startConsumers starts the entries, and consumers that send requests to each of them until stop is called.
func startConsumers(p *play, s *store) (c *consumers, stop func(), err error) {
	entries, err := startEntries(p, entryCount, s.address)
	if err != nil {
		return nil, nil, err
	}
	c = &consumers{host: "desk.example", path: "/hold/room", key: "k-1", timeout: 2 * time.Second, record: p.record, ends: map[string]int{}}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, e := range entries {
		done.Go(func() { c.run(ctx, e.front, callerCount, callerPause) })
	}
	return c, func() { cancel(); done.Wait() }, nil
}

// judgeLeave reports whether requests have reached an engine too late after its drain.
func judgeLeave(p *play, c *consumers, left *engine, drained time.Time) (broken bool) {
	before := p.record.between(left.id, drained.Add(noticeTime), drained.Add(strikeDelay))
	late := p.record.between(left.id, drained.Add(drainTime), time.Now())
	lost := 0
	for _, id := range late {
		status := c.end(id)
		if status < 200 || status > 299 {
			lost++
		}
		p.record.add("late", "engine", left.id, "id", id, "status", status)
	}
	p.record.add("result", "sent", c.sent.Load(), "before", len(before), "late", len(late), "lost", lost)
	fmt.Printf("%d requests sent; at %s: %d from %s to %s after its drain, %d later than %s after its drain, %d of these not answered with success\n",
		c.sent.Load(), left.id, len(before), noticeTime, strikeDelay, len(late), drainTime, lost)
	return len(late) > 0
}
