package failure

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// fresh returns the number of open connections to an address that pass bytes.
func (n *network) fresh(address netip.AddrPort) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address && !c.silent {
			count++
		}
	}
	return count
}

// TestSilentHeartbeats silences the open connections to a slot and measures the time to new ones.
func TestSilentHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 1})
	slot := s.processes["desk-c1-0"]
	before := s.network.fresh(slot.settings.Listen)
	is.True(before >= 2)
	began := time.Now()
	is.True(s.network.silence(slot.settings.Listen) >= 2)
	s.await("new connections are open", func() bool { return s.network.fresh(slot.settings.Listen) >= 2 })
	took := time.Since(began)
	t.Logf("new heartbeat connections after %v", took)
	is.True(took < time.Second)
	for _, name := range []string{"entry-c1-0", "entry-c1-1"} {
		is.True(s.processes[name].ask(shortQuestion).whole)
	}
}

// silencePlatform makes the open connections to the platform swallow all bytes.
func (n *network) silencePlatform() (count int) {
	n.change(func() {
		for c := range n.conns {
			if c.target == 0 {
				c.silent = true
				count++
			}
		}
	})
	return count
}

// silenceAll makes the open connections to all processes of a role swallow all bytes.
func (s *site) silenceAll(role string) (count int) {
	for _, p := range s.processes {
		if p.role == role {
			count += s.network.silence(p.settings.Listen)
		}
	}
	return count
}

// TestSilentConfiguration silences the connections by which changes travel and then publishes one.
func TestSilentConfiguration(t *testing.T) {
	tests := []struct {
		name    string
		silence func(s *site) int
	}{
		{"watches at the platform", func(s *site) int { return s.network.silencePlatform() }},
		{"changes and digests between entries", func(s *site) int { return s.silenceAll("entry") }},
		{"all", func(s *site) int {
			return s.network.silencePlatform() + s.silenceAll("entry") + s.silenceAll("slot")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, wide)
			defer s.observe()()
			count := test.silence(s)
			s.change(nil)
			took := s.spread(2, nil)
			t.Logf("%d connections silent, in force everywhere after %v", count, took)
			is.True(count > 0)
			is.True(took < spreadLimit)
		})
	}
}

// TestSilentIdle silences the idle connections between calls and checks that the next calls work.
func TestSilentIdle(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]
	for range 5 {
		is.True(entry.ask(shortQuestion).whole)
		for _, p := range s.processes {
			s.network.silence(p.settings.Listen)
		}
		a := entry.ask(shortQuestion)
		is.Equal(a.status, http.StatusOK)
		is.True(a.whole)
		is.True(a.took < 2*time.Second)
		hold, key := entry.askOnce(question{path: "/v1/holds", body: "room"})
		is.True(hold.whole)
		is.Equal(s.services["hold-c1-0"].Runs(key), 1)
	}
}

// TestSilentEngine silences the connection between a slot and its engine in the middle of an answer.
func TestSilentEngine(t *testing.T) {
	is := is.New(t)
	s := prepareSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	slot := s.processes["desk-c1-0"]
	address := slot.settings.Engine
	slot.settings.Engine = s.network.open(t, s.block.Host(1), address)
	s.publish()
	for _, p := range s.processes {
		p.start()
	}
	s.awaitServing()
	entry := s.processes["entry-c1-0"]
	a := during(entry, func() { s.network.silence(address) })
	t.Logf("visible error after %v: %+v", a.took, a.problem)
	is.True(!a.whole)
	is.Equal(a.problem.Outcome, "failed")
	is.Equal(a.problem.Detail, "the engine went silent in the middle of the answer")
	is.True(a.took < 5*time.Second)
	again := entry.ask(shortQuestion)
	is.True(again.whole)
	is.Equal(again.text, engine.Expected("short", 5))
}
