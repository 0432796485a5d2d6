package failure

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFreezeWithStaleRevision freezes one process and restarts another while the platform offers a stale configuration.
func TestFreezeWithStaleRevision(t *testing.T) {
	tests := []struct{ name, freeze, restart string }{
		{"entry frozen, slot restarted", "entry-c1-0", "desk-c1-0"},
		{"entry frozen, other entry restarted", "entry-c1-0", "entry-c1-1"},
		{"watcher of another data centre frozen", "entry-c2-0", "entry-c1-0"},
		{"slot frozen, entry restarted", "desk-c1-0", "entry-c1-0"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 2, entries: 2, engines: 1})
			s.publishChange(nil)
			s.awaitRevision(2, nil)
			s.platform.SetMaxRevision(1)
			frozen, restarted := s.processes[test.freeze], s.processes[test.restart]
			frozen.freeze()
			restarted.kill()
			restarted.start()
			s.await("the restarted process has a revision", func() bool { return restarted.revisionInForce() > 0 })
			is.Equal(restarted.revisionInForce(), int64(2))
			frozen.unfreeze()
			time.Sleep(time.Second)
			for _, p := range s.processes {
				is.Equal(p.revisionInForce(), int64(2))
			}
			s.platform.SetMaxRevision(0)
			s.publishChange(nil)
			is.True(s.awaitRevision(3, nil) < propagationLimit)
		})
	}
}

// TestDrainWithHalfOpenConnections stops processes while open connections are blackholed; answers in progress must be
// complete.
func TestDrainWithHalfOpenConnections(t *testing.T) {
	tests := []struct {
		name       string
		stop       string
		blackholed []string
	}{
		{"slot stops, its connections silent", "desk-c1-0", []string{"desk-c1-0"}},
		{"entry stops, the slots' connections silent", "entry-c1-0", []string{"desk-c1-0", "desk-c1-1"}},
		{"slot stops, the entries' connections silent", "desk-c1-0", []string{"entry-c1-0", "entry-c1-1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSite(t, siteOptions{centres: 1, entries: 2, engines: 2, step: 2 * time.Millisecond})
			long := s.startLongAnswers(s.processes["entry-c1-0"], s.processes["desk-c1-0"])
			other := startLoad(1, s.processes["entry-c1-1"])
			s.processes[test.stop].signal(syscall.SIGTERM)
			count := 0
			for _, name := range test.blackholed {
				count += s.network.blackhole(s.processes[name].settings.Listen)
			}
			is.True(count > 0)
			for a := range long {
				is.True(a.complete)
			}
			other.stopAndWait()
			is.Equal(len(other.unexpected), 0)
			<-s.processes[test.stop].done
			is.Equal(s.processes[test.stop].command.ProcessState.ExitCode(), 0)
		})
	}
}
