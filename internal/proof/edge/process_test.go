package edge

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/commands"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/loopback"
	"github.com/dragonflydeal/dragonflydeal/platform"
)

// childEnv is the environment variable that makes the test binary run as the dragonflydeal binary.
const childEnv = "DRAGONFLYDEAL_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// child is a process of its own that runs an entry or a slot of a rig.
type child struct {
	*exec.Cmd
	settings string
	// log holds what the process has written.
	log lockedBuffer
}

// startChild starts an entry or a slot as a process of its own, whose callers use an address, beside the entry of the rig.
func (r *rig) startChild(role string, callers netip.AddrPort) *child {
	r.t.Helper()
	c := &child{settings: filepath.Join(r.t.TempDir(), "settings.toml")}
	address := loopback.FreeAddress(r.t)
	c.write(r.t, fmt.Sprintf(`
node = "child"
ip = %q
portRange = [%d, %d]
zone = "c0"
service = "holds"
app = %q
[listen]
front = %q
ready = %q
[bounds]
graceS = 4.0
[platform]
addr = %q
`, address.Addr(), address.Port(), address.Port()+1, r.targets[0].Listener.Addr(), callers, netip.AddrPortFrom(callers.Addr(), callers.Port()+1), r.storeAddress))
	c.Cmd = exec.Command(os.Args[0], role, "--platform")
	c.Env = append(os.Environ(), childEnv+"=1", platform.SettingsVariable+"="+c.settings)
	c.Stdout, c.Stderr = &c.log, &c.log
	if err := c.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Process.Kill() })
	return c
}

// write replaces the settings file.
func (c *child) write(t *testing.T, settings string) {
	if err := os.WriteFile(c.settings, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestHangupEndsNoProcess sends SIGHUP to an entry and to a slot at each time of their lives. It guards against the default action of the signal,
// which ended stopping entries with the requests in progress.
func TestHangupEndsNoProcess(t *testing.T) {
	tests := []struct {
		name string
		// after are the times from the stop to the hangups; negative ones come before it.
		after []time.Duration
	}{
		{"at work", []time.Duration{-200 * time.Millisecond}},
		{"as the stop begins", []time.Duration{0}},
		{"during the stop", []time.Duration{500 * time.Millisecond}},
		{"repeatedly", []time.Duration{-100 * time.Millisecond, 0, 300 * time.Millisecond, 301 * time.Millisecond, 900 * time.Millisecond}},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			arrived := make(chan struct{}, 1)
			r := newRig(t, 0, func(w http.ResponseWriter, q *http.Request) {
				if strings.HasPrefix(q.URL.Path, "/once/") {
					arrived <- struct{}{}
					time.Sleep(2 * time.Second)
				}
				serveDone(w, q)
			})
			r.timeoutMs = 9000
			r.configure(2, testKey)
			callers := loopback.FreeAddress(t)
			process, slot := r.startChild("entry", callers), r.startChild("slot", callers)
			e := &entry{front: "http://" + callers.String()}
			r.await(func() bool { return r.callAt(e, "GET", "/warm/", nil).status == http.StatusOK })
			answered := make(chan answer, 1)
			go func() { answered <- r.callAt(e, "POST", "/once/", waitLong) }()
			<-arrived
			at := time.Now().Add(200 * time.Millisecond)
			defer time.AfterFunc(time.Until(at), func() { _ = process.Process.Signal(syscall.SIGTERM) }).Stop()
			for _, after := range v.after {
				time.Sleep(time.Until(at.Add(after)))
				is.NoErr(process.Process.Signal(syscall.SIGHUP))
				is.NoErr(slot.Process.Signal(syscall.SIGHUP))
			}
			a := <-answered
			is.NoErr(a.err)
			is.Equal(a.status, http.StatusOK)
			is.NoErr(process.Wait()) // the entry ends by its stop, not by a signal
			r.await(func() bool { return reloaded(slot) })
			is.NoErr(slot.Process.Signal(syscall.SIGTERM))
			is.NoErr(slot.Process.Signal(syscall.SIGHUP))
			is.NoErr(slot.Wait())
			is.True(reloaded(process))
		})
	}
}

// reloaded reports whether a process has read its settings again after a hangup.
func reloaded(c *child) bool {
	return strings.Contains(c.log.String(), "msg=reload instance=child cause=signal")
}
