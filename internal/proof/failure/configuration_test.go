package failure

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

// spreadLimit is the time in which a change must be in force at all reachable processes.
const spreadLimit = 4 * time.Second

// wide is a site with entries outside the tree's top.
var wide = siteOptions{centres: 3, entries: 3, engines: 1}

// change publishes the next revision after an edit, if any.
func (s *site) change(edit func(*configuration.Configuration)) {
	s.t.Helper()
	s.config.Revision++
	if edit != nil {
		edit(s.config)
	}
	s.publish()
}

// revision returns the revision in force at a process, or zero.
func (p *process) revision() int64 {
	var v struct {
		Revision int64 `json:"revision"`
	}
	if !p.get("/status", &v) {
		return 0
	}
	return v.Revision
}

// spread waits until a revision is in force at the processes for which in reports true, and returns the time that it took.
func (s *site) spread(revision int64, in func(*process) bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for name, p := range s.processes {
		if in == nil || in(p) {
			s.await(fmt.Sprintf("%s has revision %d", name, revision), func() bool { return p.revision() >= revision })
		}
	}
	return time.Since(began)
}

// record is one line of a process's audit trail.
type record struct {
	Kind   string            `json:"kind"`
	Values map[string]string `json:"values"`
}

// audit returns the audit lines of a kind and state.
func (p *process) audit(kind, state string) (lines []record) {
	var all []record
	p.get("/audit", &all)
	for _, v := range all {
		if v.Kind == kind && v.Values["state"] == state {
			lines = append(lines, v)
		}
	}
	return lines
}

// observe checks until the returned function is called that the revision seen at each process never falls.
func (s *site) observe() (end func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		last := map[string]int64{}
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			for name, p := range s.processes {
				if v := p.revision(); v != 0 && v < last[name] {
					s.t.Errorf("%s went from revision %d back to %d", name, last[name], v)
				} else if v != 0 {
					last[name] = v
				}
			}
		}
	}()
	return func() { close(stop); <-done }
}

// TestConfigurationSpreads brings a change to all processes while the service has a fault.
func TestConfigurationSpreads(t *testing.T) {
	tests := []struct {
		name string
		// before brings the fault about, publish publishes and after ends the fault.
		before, after func(s *site)
		edit          func(*configuration.Configuration)
	}{
		{name: "no fault"},
		{name: "slow", before: func(s *site) { s.platform.SetDelay(700 * time.Millisecond) }},
		{name: "megabyte", edit: func(c *configuration.Configuration) { pad(c, configuration.MaxSize-2000) }},
		{
			name:   "down at first",
			before: func(s *site) { s.platform.SetDown(true) },
			after:  func(s *site) { s.platform.SetDown(false) },
		},
		{
			name:   "partial at first",
			before: func(s *site) { s.platform.SetTruncated(true) },
			after:  func(s *site) { time.Sleep(time.Second); s.platform.SetTruncated(false) },
		},
		{
			name:   "only one data centre reaches the service",
			before: func(s *site) { s.network.cut(0, 1); s.network.cut(0, 2) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, wide)
			defer s.observe()()
			if test.before != nil {
				test.before(s)
			}
			s.change(test.edit)
			if test.after != nil {
				test.after(s)
			}
			took := s.spread(2, nil)
			t.Logf("in force everywhere after %v", took)
			is.True(took < spreadLimit)
			for _, p := range s.processes {
				lines := p.audit("configuration", "accepted")
				is.Equal(len(lines), 2)
				is.Equal(lines[1].Values["revision"], "2")
				is.Equal(lines[1].Values["author"], "test")
				is.True(lines[1].Values["changes"] != "")
			}
		})
	}
}

// pad adds workspaces until the value has about a size.
func pad(c *configuration.Configuration, size int) {
	for i := 0; ; i++ {
		c.Workspaces = append(c.Workspaces, configuration.Workspace{Name: fmt.Sprintf("workspace-%06d-%s", i, strings.Repeat("x", 60))})
		if i%100 > 0 {
			continue
		}
		if data, _ := c.Encode(); len(data) > size-10000 {
			return
		}
	}
}

// TestConfigurationRefused publishes values that no process may put in force.
func TestConfigurationRefused(t *testing.T) {
	tests := []struct {
		name string
		data func(c *configuration.Configuration) []byte
	}{
		{"not JSON", func(*configuration.Configuration) []byte { return []byte(`{"revision": 2,`) }},
		{"unknown key", func(*configuration.Configuration) []byte { return []byte(`{"revision": 2, "nope": 1}`) }},
		{"faulty", func(c *configuration.Configuration) []byte {
			v := *c
			v.Revision, v.Centres = 2, nil
			data, _ := v.Encode()
			return data
		}},
		{"too large", func(c *configuration.Configuration) []byte {
			v := *c
			v.Revision = 2
			pad(&v, configuration.MaxSize+20000)
			data, _ := v.Encode()
			return data
		}},
		{"same revision with other content", func(c *configuration.Configuration) []byte {
			v := *c
			v.Author = "other"
			data, _ := v.Encode()
			return data
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1})
			defer s.observe()()
			s.platform.Publish(2, test.data(s.config))
			watching := func() (count int) {
				for _, p := range s.processes {
					lines := p.audit("configuration", "refused")
					is.True(len(lines) <= 1)
					count += len(lines)
				}
				return count
			}
			s.await("both watchers of each data centre record the refusal", func() bool { return watching() == 4 })
			for _, p := range s.processes {
				is.Equal(p.revision(), int64(1))
			}
			s.config.Revision = 2
			s.change(nil)
			is.True(s.spread(3, nil) < spreadLimit)
		})
	}
}

// TestConfigurationStale restarts each process while the service offers an older revision.
func TestConfigurationStale(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1})
	s.change(nil)
	s.change(nil)
	s.spread(3, nil)
	defer s.observe()()
	s.platform.SetMaxRevision(1)
	for _, name := range []string{"entry-c1-0", "entry-c2-1", "desk-c1-0", "desk-c2-0", "entry-c1-1"} {
		p := s.processes[name]
		p.kill()
		p.start()
		s.await(name+" has a revision", func() bool { return p.revision() > 0 })
		is.Equal(p.revision(), int64(3))
	}
	s.platform.SetMaxRevision(0)
	s.change(nil)
	is.True(s.spread(4, nil) < spreadLimit)
}

// TestConfigurationStalePeers restarts a process whose only source besides the stale service are the peers of its settings.
func TestConfigurationStalePeers(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 1})
	s.change(nil)
	s.spread(2, nil)
	s.platform.SetDown(true)
	p := s.processes["desk-c1-0"]
	p.kill()
	for _, e := range s.config.Entries {
		p.settings.Peers = append(p.settings.Peers, e.Address)
	}
	p.start()
	s.await("the slot has a revision", func() bool { return p.revision() > 0 })
	is.Equal(p.revision(), int64(2))
}

// TestConfigurationCut changes the configuration while a data centre is cut off from all others and the platform.
func TestConfigurationCut(t *testing.T) {
	is := is.New(t)
	s := newSite(t, wide)
	defer s.observe()()
	inside := func(p *process) bool { return p.settings.Centre == "c3" }
	for _, other := range []byte{0, 1, 2} {
		s.network.cut(3, other)
	}
	s.change(nil)
	is.True(s.spread(2, func(p *process) bool { return !inside(p) }) < spreadLimit)
	for _, p := range s.processes {
		is.True(!inside(p) || p.revision() == 1)
	}
	s.network.heal()
	is.True(s.spread(2, nil) < spreadLimit)
}

// TestConfigurationWatchersFail kills and freezes the watchers of a data centre and then changes the configuration.
func TestConfigurationWatchersFail(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 5, engines: 2})
	defer s.observe()()
	watchers := s.watchers("c1")
	watchers[0].kill()
	watchers[1].freeze()
	s.change(nil)
	rest := func(p *process) bool { return p != watchers[0] && p != watchers[1] }
	took := s.spread(2, rest)
	t.Logf("in force at the rest after %v", took)
	is.True(took < spreadLimit)
	watchers[1].wake()
	is.True(s.spread(2, func(p *process) bool { return p != watchers[0] }) < spreadLimit)
}

// watchers returns the entries of a data centre that watch the service.
func (s *site) watchers(centre string) (out []*process) {
	for _, e := range s.config.Entries {
		plan := revision.NewSources(e.Name, e.Centre).Plan(time.Time{}, s.config)
		if e.Centre == centre && plan.Watch {
			out = append(out, s.processes[e.Name])
		}
	}
	return out
}

// TestConfigurationCalls counts the calls at the service against the number of processes.
func TestConfigurationCalls(t *testing.T) {
	is := is.New(t)
	const span = 4 * time.Second
	var calls, processes []int
	for _, entries := range []int{2, 4, 8} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			s := newSite(t, siteOptions{centres: 1, entries: entries, engines: entries})
			// Processes that started before the first watcher have read the service themselves.
			time.Sleep(time.Second)
			before := s.platform.Calls()
			time.Sleep(span)
			calls = append(calls, s.platform.Calls()-before)
			processes = append(processes, len(s.processes))
		})
	}
	t.Logf("processes %v calls in %v %v", processes, span, calls)
	// The two watchers make one call a second each, whatever the size.
	for _, count := range calls {
		is.True(count <= 2*int(span/time.Second)+2)
	}
}
