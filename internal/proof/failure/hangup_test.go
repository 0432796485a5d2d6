package failure

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// TestHangupEndsNoProcess sends SIGHUP to an entry and a slot that stream an answer, before they stop and while they do. It guards against the
// default action of the signal, which ended them with the requests in progress.
func TestHangupEndsNoProcess(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, step: 5 * time.Millisecond})
	entry, slot := s.processes["entry-c1-0"], s.processes["desk-c1-0"]
	a := askWithFault(entry, func() {
		for _, p := range []*process{entry, slot} {
			p.signal(syscall.SIGHUP)
			p.signal(syscall.SIGTERM)
			time.Sleep(50 * time.Millisecond)
			p.signal(syscall.SIGHUP)
		}
	})
	is.True(a.complete)
	is.Equal(a.text, engine.Expected("hold", longTokens))
	for _, p := range []*process{entry, slot} {
		<-p.done
		is.Equal(p.command.ProcessState.ExitCode(), 0)
	}
}
