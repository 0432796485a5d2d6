package failure

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// workingConns returns the number of open connections to an address that are not blackholed.
func (n *network) workingConns(address netip.AddrPort) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.address == address && !c.blackholed {
			count++
		}
	}
	return count
}

// TestHalfOpenHeartbeats blackholes the open connections to a slot and measures the time until new ones are open.
func TestHalfOpenHeartbeats(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 1})
	slot := s.processes["desk-c1-0"]
	before := s.network.workingConns(slot.settings.Listen)
	is.True(before >= 2)
	began := time.Now()
	is.True(s.network.blackhole(slot.settings.Listen) >= 2)
	s.await("new connections are open", func() bool { return s.network.workingConns(slot.settings.Listen) >= 2 })
	took := time.Since(began)
	t.Logf("new heartbeat connections after %v", took)
	is.True(took < time.Second)
	for _, name := range []string{"entry-c1-0", "entry-c1-1"} {
		is.True(s.processes[name].send(shortRequest).complete)
	}
}

// blackholePlatform blackholes the open connections to the platform.
func (n *network) blackholePlatform() (count int) {
	n.update(func() {
		for c := range n.conns {
			if c.target == 0 {
				c.blackholed = true
				count++
			}
		}
	})
	return count
}

// blackholeAll blackholes the open connections to all processes of a role.
func (s *site) blackholeAll(role string) (count int) {
	for _, p := range s.processes {
		if p.role == role {
			count += s.network.blackhole(p.settings.Listen)
		}
	}
	return count
}

// TestHalfOpenConfiguration blackholes the connections that carry configuration changes and then publishes a change.
func TestHalfOpenConfiguration(t *testing.T) {
	tests := []struct {
		name      string
		blackhole func(s *site) int
	}{
		{"watches at the platform", func(s *site) int { return s.network.blackholePlatform() }},
		{"changes and digests between entries", func(s *site) int { return s.blackholeAll("entry") }},
		{"all", func(s *site) int {
			return s.network.blackholePlatform() + s.blackholeAll("entry") + s.blackholeAll("slot")
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, wideSite)
			defer s.watchRevisions()()
			count := test.blackhole(s)
			s.publishChange(nil)
			took := s.awaitRevision(2, nil)
			t.Logf("%d connections blackholed, in force everywhere after %v", count, took)
			is.True(count > 0)
			is.True(took < propagationLimit)
		})
	}
}

// TestHalfOpenIdle blackholes the idle connections between calls and checks that the next calls succeed.
func TestHalfOpenIdle(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]
	for range 5 {
		is.True(entry.send(shortRequest).complete)
		for _, p := range s.processes {
			s.network.blackhole(p.settings.Listen)
		}
		a := entry.send(shortRequest)
		is.Equal(a.status, http.StatusOK)
		is.True(a.complete)
		is.True(a.took < 2*time.Second)
		hold, key := entry.sendWithKey(request{path: "/v1/holds", body: "room"})
		is.True(hold.complete)
		is.Equal(s.services["hold-c1-0"].Runs(key), 1)
	}
}

// TestHalfOpenEngine blackholes the connection between a slot and its engine in the middle of an answer. The caller must
// get an error, and the next request must succeed.
func TestHalfOpenEngine(t *testing.T) {
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
	a := askWithFault(entry, func() { s.network.blackhole(address) })
	t.Logf("error reported after %v: %+v", a.took, a.problem)
	is.True(!a.complete)
	is.Equal(a.problem.Outcome, "failed")
	is.Equal(a.problem.Detail, "the engine went silent in the middle of the answer")
	is.True(a.took < 5*time.Second)
	again := entry.send(shortRequest)
	is.True(again.complete)
	is.Equal(again.text, engine.Expected("short", 5))
}
