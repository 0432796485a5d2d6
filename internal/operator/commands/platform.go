package commands

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/base/boottime"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/operator/logs"
	"github.com/dragonflydeal/dragonflydeal/internal/process/gateway"
	"github.com/dragonflydeal/dragonflydeal/internal/process/sidecar"
	"github.com/dragonflydeal/dragonflydeal/platform"
)

// heapShare is the part of a process's memory limit at which the garbage collector works harder.
const heapShare = 0.6

// filePause is the time between two looks at the settings file, which may change without a signal.
const filePause = 2 * time.Second

// settingsFile follows the platform's settings file.
type settingsFile struct {
	path string
	// changed is the time of the file's newest known change.
	changed time.Time
	log     *slog.Logger
}

// openSettings reads the platform's settings file and fits the runtime to its limits.
func (c *process) openSettings(w *logs.Writer) (f *settingsFile, s *site.Settings, err error) {
	f = &settingsFile{path: cmp.Or(c.Settings, os.Getenv(platform.SettingsVariable))}
	f.look()
	if s, err = platform.ReadSettings(f.path); err != nil {
		return nil, nil, err
	}
	f.log = logs.New(w).With("instance", s.Name)
	// The machine runs one thread of a process at a time, so more would only hand work to each other.
	runtime.GOMAXPROCS(1)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	return f, s, nil
}

// look reports whether the file has changed since the last look.
func (f *settingsFile) look() bool {
	info, err := os.Stat(f.path)
	if err != nil || info.ModTime().Equal(f.changed) {
		return false
	}
	f.changed = info.ModTime()
	return true
}

// follow puts changed settings in force until the context ends.
func (f *settingsFile) follow(ctx context.Context, apply func(*site.Settings) error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(filePause)
	defer t.Stop()
	for {
		cause := "file"
		select {
		case <-ctx.Done():
			return
		case <-hup:
			cause = "signal"
			f.look()
		case <-t.C:
			if !f.look() {
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

func (c *entryCommand) runGateway(ctx context.Context, stdout io.Writer) error {
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
			DecodeCall: platform.DecodeCall, NewRequest: platform.NewRequest, DecodeAnswer: platform.DecodeAnswer, SetAttemptID: platform.SetAttemptID,
		},
		Store: gateway.Store{
			Configuration: store.Configuration, Changes: store.Changes, Targets: store.Targets, Close: store.Close,
		},
		Log: file.log, Random: source(), Now: time.Now, Boot: boot,
	})
	go file.follow(ctx, p.Reload)
	return p.Run(ctx)
}

func (c *slotCommand) runSidecar(ctx context.Context, stdout io.Writer) error {
	w := logs.NewWriter(stdout)
	defer w.Close()
	file, s, err := c.openSettings(w)
	if err != nil {
		return err
	}
	engine := platform.NewEngine(s.Engine)
	p := sidecar.New(sidecar.Options{
		Settings:      s,
		Engine:        sidecar.Engine{Report: engine.Report, Counts: engine.Counts, Experts: engine.Experts, Order: engine.Order},
		Configuration: platform.NewStore(s.Store).StaleConfiguration,
		Log:           file.log, Incarnation: rand.Uint64(), Now: time.Now,
	})
	go file.follow(ctx, p.Reload)
	return p.Run(ctx)
}
