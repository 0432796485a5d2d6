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

// propagationLimit is the time within which a change must be in force at all reachable processes.
const propagationLimit = 4 * time.Second

// wideSite has entries below the top level of the distribution tree.
var wideSite = siteOptions{centres: 3, entries: 3, engines: 1}

// publishChange applies an edit, if any, and publishes the next revision.
func (s *site) publishChange(edit func(*configuration.Configuration)) {
	s.t.Helper()
	s.config.Revision++
	if edit != nil {
		edit(s.config)
	}
	s.publish()
}

// revisionInForce returns the revision in force at a process, or zero if its status cannot be read.
func (p *process) revisionInForce() int64 {
	var v struct {
		Revision int64 `json:"revision"`
	}
	if !p.get("/status", &v) {
		return 0
	}
	return v.Revision
}

// awaitRevision waits until a revision is in force at the processes for which include reports true, or at all if it
// is nil, and returns the time that it took.
func (s *site) awaitRevision(revision int64, include func(*process) bool) time.Duration {
	s.t.Helper()
	began := time.Now()
	for name, p := range s.processes {
		if include == nil || include(p) {
			s.await(fmt.Sprintf("%s has revision %d", name, revision), func() bool { return p.revisionInForce() >= revision })
		}
	}
	return time.Since(began)
}

// auditRecord is one record of a process's audit trail.
type auditRecord struct {
	Kind   string            `json:"kind"`
	Values map[string]string `json:"values"`
}

// auditRecords returns the audit records of a kind and state.
func (p *process) auditRecords(kind, state string) (lines []auditRecord) {
	var all []auditRecord
	p.get("/audit", &all)
	for _, v := range all {
		if v.Kind == kind && v.Values["state"] == state {
			lines = append(lines, v)
		}
	}
	return lines
}

// watchRevisions checks, until the returned function is called, that the revision in force at a process never
// decreases.
func (s *site) watchRevisions() (end func()) {
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
				if v := p.revisionInForce(); v != 0 && v < last[name] {
					s.t.Errorf("%s went from revision %d back to %d", name, last[name], v)
				} else if v != 0 {
					last[name] = v
				}
			}
		}
	}()
	return func() { close(stop); <-done }
}

// TestConfigurationSpreads checks that a change reaches all processes in time while the platform has a fault.
func TestConfigurationSpreads(t *testing.T) {
	tests := []struct {
		name string
		// before causes the fault before the change is published, and after ends it.
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
			before: func(s *site) { s.network.partition(0, 1); s.network.partition(0, 2) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, wideSite)
			defer s.watchRevisions()()
			if test.before != nil {
				test.before(s)
			}
			s.publishChange(test.edit)
			if test.after != nil {
				test.after(s)
			}
			took := s.awaitRevision(2, nil)
			t.Logf("in force everywhere after %v", took)
			is.True(took < propagationLimit)
			for _, p := range s.processes {
				lines := p.auditRecords("configuration", "accepted")
				is.Equal(len(lines), 2)
				is.Equal(lines[1].Values["revision"], "2")
				is.Equal(lines[1].Values["author"], "test")
				is.True(lines[1].Values["changes"] != "")
			}
		})
	}
}

// pad adds workspaces until the encoded configuration is about size bytes long.
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

// TestConfigurationRefused publishes invalid configurations, which no process may put in force.
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
			defer s.watchRevisions()()
			s.platform.Publish(2, test.data(s.config))
			refusals := func() (count int) {
				for _, p := range s.processes {
					lines := p.auditRecords("configuration", "refused")
					is.True(len(lines) <= 1)
					count += len(lines)
				}
				return count
			}
			s.await("both watchers of each data centre record the refusal", func() bool { return refusals() == 4 })
			for _, p := range s.processes {
				is.Equal(p.revisionInForce(), int64(1))
			}
			s.config.Revision = 2
			s.publishChange(nil)
			is.True(s.awaitRevision(3, nil) < propagationLimit)
		})
	}
}

// TestConfigurationStale restarts processes while the platform offers an older revision.
func TestConfigurationStale(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1})
	s.publishChange(nil)
	s.publishChange(nil)
	s.awaitRevision(3, nil)
	defer s.watchRevisions()()
	s.platform.SetMaxRevision(1)
	for _, name := range []string{"entry-c1-0", "entry-c2-1", "desk-c1-0", "desk-c2-0", "entry-c1-1"} {
		p := s.processes[name]
		p.kill()
		p.start()
		s.await(name+" has a revision", func() bool { return p.revisionInForce() > 0 })
		is.Equal(p.revisionInForce(), int64(3))
	}
	s.platform.SetMaxRevision(0)
	s.publishChange(nil)
	is.True(s.awaitRevision(4, nil) < propagationLimit)
}

// TestConfigurationFromPeers restarts a process that can read the configuration only from the peers in its settings,
// because the platform is down.
func TestConfigurationFromPeers(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 1})
	s.publishChange(nil)
	s.awaitRevision(2, nil)
	s.platform.SetDown(true)
	p := s.processes["desk-c1-0"]
	p.kill()
	for _, e := range s.config.Entries {
		p.settings.Peers = append(p.settings.Peers, e.Address)
	}
	p.start()
	s.await("the slot has a revision", func() bool { return p.revisionInForce() > 0 })
	is.Equal(p.revisionInForce(), int64(2))
}

// TestConfigurationPartition changes the configuration while a network partition separates a data centre from all others
// and the platform.
func TestConfigurationPartition(t *testing.T) {
	is := is.New(t)
	s := newSite(t, wideSite)
	defer s.watchRevisions()()
	isolated := func(p *process) bool { return p.settings.Centre == "c3" }
	for _, other := range []byte{0, 1, 2} {
		s.network.partition(3, other)
	}
	s.publishChange(nil)
	is.True(s.awaitRevision(2, func(p *process) bool { return !isolated(p) }) < propagationLimit)
	for _, p := range s.processes {
		is.True(!isolated(p) || p.revisionInForce() == 1)
	}
	s.network.heal()
	is.True(s.awaitRevision(2, nil) < propagationLimit)
}

// TestConfigurationWatchersFail kills one watcher of a data centre, freezes the other and then changes the
// configuration.
func TestConfigurationWatchersFail(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 5, engines: 2})
	defer s.watchRevisions()()
	watchers := s.watchers("c1")
	watchers[0].kill()
	watchers[1].freeze()
	s.publishChange(nil)
	others := func(p *process) bool { return p != watchers[0] && p != watchers[1] }
	took := s.awaitRevision(2, others)
	t.Logf("in force at the other processes after %v", took)
	is.True(took < propagationLimit)
	watchers[1].unfreeze()
	is.True(s.awaitRevision(2, func(p *process) bool { return p != watchers[0] }) < propagationLimit)
}

// watchers returns the entries of a data centre that watch the platform's configuration.
func (s *site) watchers(centre string) (out []*process) {
	for _, e := range s.config.Entries {
		plan := revision.NewSources(e.Name, e.Centre).Plan(time.Time{}, s.config)
		if e.Centre == centre && plan.Watch {
			out = append(out, s.processes[e.Name])
		}
	}
	return out
}

// TestConfigurationCalls checks that the number of calls to the platform does not grow with the number of processes.
func TestConfigurationCalls(t *testing.T) {
	is := is.New(t)
	const duration = 4 * time.Second
	var calls, processes []int
	for _, entries := range []int{2, 4, 8} {
		t.Run(strconv.Itoa(entries), func(t *testing.T) {
			s := newSite(t, siteOptions{centres: 1, entries: entries, engines: entries})
			// Processes that started before the first watcher read the platform directly.
			time.Sleep(time.Second)
			before := s.platform.Calls()
			time.Sleep(duration)
			calls = append(calls, s.platform.Calls()-before)
			processes = append(processes, len(s.processes))
		})
	}
	t.Logf("processes %v calls in %v %v", processes, duration, calls)
	// Each of the two watchers makes one call a second, independent of the site's size.
	for _, count := range calls {
		is.True(count <= 2*int(duration/time.Second)+2)
	}
}
