package failure

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFreezeAndStale freezes an entry while the service is stale, and restarts processes meanwhile.
func TestFreezeAndStale(t *testing.T) {
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
			s.change(nil)
			s.spread(2, nil)
			s.platform.SetMaxRevision(1)
			frozen, restarted := s.processes[test.freeze], s.processes[test.restart]
			frozen.freeze()
			restarted.kill()
			restarted.start()
			s.await("the restarted process has a revision", func() bool { return restarted.revision() > 0 })
			is.Equal(restarted.revision(), int64(2))
			frozen.wake()
			time.Sleep(time.Second)
			for _, p := range s.processes {
				is.Equal(p.revision(), int64(2))
			}
			s.platform.SetMaxRevision(0)
			s.change(nil)
			is.True(s.spread(3, nil) < spreadLimit)
		})
	}
}

// TestDrainAndSilence stops processes while their open connections go silent; answers in progress stay whole.
func TestDrainAndSilence(t *testing.T) {
	tests := []struct {
		name   string
		stop   string
		silent []string
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
			held := s.hold(s.processes["entry-c1-0"], s.processes["desk-c1-0"])
			other := newLoad(1, s.processes["entry-c1-1"])
			s.processes[test.stop].signal(syscall.SIGTERM)
			silent := 0
			for _, name := range test.silent {
				silent += s.network.silence(s.processes[name].settings.Listen)
			}
			is.True(silent > 0)
			for a := range held {
				is.True(a.whole)
			}
			other.end()
			is.Equal(len(other.bad), 0)
			<-s.processes[test.stop].done
			is.Equal(s.processes[test.stop].command.ProcessState.ExitCode(), 0)
		})
	}
}
