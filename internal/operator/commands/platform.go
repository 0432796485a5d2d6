package commands

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/boottime"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/logs"
	"github.com/dragonflydeal/dragonflydeal/internal/process/gateway"
	"github.com/dragonflydeal/dragonflydeal/internal/process/sidecar"
	"github.com/dragonflydeal/dragonflydeal/platform"
)

// memoryLimitFraction is the fraction of a process's memory limit that the Go runtime gets as its soft limit.
// Above it the garbage collector runs more often.
const memoryLimitFraction = 0.6

// filePollInterval is the time between two checks of the settings file, which may change without a signal.
const filePollInterval = 2 * time.Second

// settingsFile detects changes of the platform's settings file and applies them.
type settingsFile struct {
	path string
	// modTime is the file's modification time at the last check.
	modTime time.Time
	log     *slog.Logger
}

// openSettings reads the platform's settings file and adapts the Go runtime to the limits of the process.
func (a *processArgs) openSettings(w *logs.Writer) (f *settingsFile, s *site.Settings, err error) {
	f = &settingsFile{path: cmp.Or(a.Settings, os.Getenv(platform.SettingsVariable))}
	f.checkModified()
	if s, err = platform.ReadSettings(f.path); err != nil {
		return nil, nil, err
	}
	f.log = logs.New(w).With("instance", s.Name)
	// The machine runs one thread of a process at a time, so more threads would only hand work to each other.
	runtime.GOMAXPROCS(1)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.Memory)))
	}
	return f, s, nil
}

// checkModified reports whether the file has changed since the last call.
func (f *settingsFile) checkModified() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.modTime) {
		return false
	}
	f.modTime = info.ModTime()
	return true
}

// runWatched runs a process, and applies the settings again on each hangup and when the file changes until the process ends. The end of
// the context begins a stop, in which requests are still served by the settings.
func (f *settingsFile) runWatched(ctx context.Context, hangups <-chan os.Signal, apply func(*site.Settings) error, run func(context.Context) error) error {
	watched, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	go f.watch(watched, hangups, apply)
	return run(ctx)
}

// watch applies the settings again on each hangup and when the file changes, until the context ends.
func (f *settingsFile) watch(ctx context.Context, hangups <-chan os.Signal, apply func(*site.Settings) error) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "signal"
			f.checkModified()
		case <-ticker.C:
			if !f.checkModified() {
				continue
			}
		}
		s, err := platform.ReadSettings(f.path)
		if err == nil {
			err = apply(s)
		}
		if err != nil {
			f.log.Warn("reload refused, the settings before stay in force", "cause", cause, "error", err)
			continue
		}
		f.log.Info("reload", "cause", cause)
	}
}

// runGateway runs an entry on the users' platform.
func (c *entryCommand) runGateway(ctx context.Context, hangups <-chan os.Signal, stdout io.Writer) error {
	w := logs.NewWriter(stdout)
	defer w.Close()
	file, s, err := c.openSettings(w)
	if err != nil {
		return err
	}
	boot, err := boottime.New()
	if err != nil {
		return err
	}
	store := platform.NewStore(s.Store)
	p := gateway.New(gateway.Options{
		Settings: s,
		Codec: gateway.Codec{
			DecodeCall: platform.DecodeCall, DecodeKey: platform.DecodeKey, NewRequest: platform.NewRequest, DecodeAnswer: platform.DecodeAnswer, SetAttemptID: platform.SetAttemptID,
		},
		Store: gateway.Store{
			Configuration: store.Configuration, StaleConfiguration: store.StaleConfiguration, Changes: store.Changes, Targets: store.Targets, Evacuations: store.Evacuations, Decode: platform.DecodeConfiguration, Close: store.Close,
		},
		Log: file.log, Random: newRandom(), Now: time.Now, Boot: boot,
	})
	return file.runWatched(ctx, hangups, p.Reload, p.Run)
}

// runSidecar runs a slot on the users' platform.
func (c *slotCommand) runSidecar(ctx context.Context, hangups <-chan os.Signal, stdout io.Writer) error {
	w := logs.NewWriter(stdout)
	defer w.Close()
	file, s, err := c.openSettings(w)
	if err != nil {
		return err
	}
	engineAt := func(a netip.AddrPort) sidecar.Engine {
		engine := platform.NewEngine(a)
		return sidecar.Engine{Report: engine.Report, Counts: engine.Counts, Experts: engine.Experts, Order: engine.Order, ID: engine.ID}
	}
	store := platform.NewStore(s.Store)
	p := sidecar.New(sidecar.Options{
		Settings: s, Engine: engineAt(s.Engine), EngineAt: engineAt,
		TargetAddress: store.TargetAddress, Configuration: store.StaleConfiguration,
		Log: file.log, Incarnation: rand.Uint64(), Now: time.Now,
	})
	return file.runWatched(ctx, hangups, p.Reload, p.Run)
}
