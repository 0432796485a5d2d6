package commands

import (
	"cmp"
	"context"
	"io"
	"math/rand/v2"
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

// heapShare is the part of a process's memory limit at which the garbage collector works harder.
const heapShare = 0.6

// platformSettings reads the platform's settings file and fits the runtime to its limits.
func (c *process) platformSettings() (s *site.Settings, err error) {
	s, err = platform.ReadSettings(cmp.Or(c.Settings, os.Getenv(platform.SettingsVariable)))
	if err != nil {
		return nil, err
	}
	// The machine runs one thread of a process at a time, so more would only hand work to each other.
	runtime.GOMAXPROCS(1)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.Memory)))
	}
	return s, nil
}

func (c *entryCommand) runGateway(ctx context.Context, stdout io.Writer) error {
	s, err := c.platformSettings()
	if err != nil {
		return err
	}
	boot, err := boottime.New()
	if err != nil {
		return err
	}
	w := logs.NewWriter(stdout)
	defer w.Close()
	store := platform.NewStore(s.Store)
	return gateway.New(gateway.Options{
		Settings: s,
		Dialect: gateway.Dialect{
			ReadCall: platform.ReadCall, NewRequest: platform.NewRequest, ReadAnswer: platform.ReadAnswer, WriteID: platform.WriteID,
		},
		Store: gateway.Store{
			Configuration: store.Configuration, Changed: store.Changed, Targets: store.Targets, Close: store.Close,
		},
		Log: logs.New(w), Random: source(), Now: time.Now, Boot: boot,
	}).Run(ctx)
}

func (c *slotCommand) runSidecar(ctx context.Context, stdout io.Writer) error {
	s, err := c.platformSettings()
	if err != nil {
		return err
	}
	w := logs.NewWriter(stdout)
	defer w.Close()
	engine := platform.NewEngine(s.Engine)
	return sidecar.New(sidecar.Options{
		Settings:      s,
		Engine:        sidecar.Engine{Report: engine.Report, Counts: engine.Counts, Experts: engine.Experts, Order: engine.Order},
		Configuration: platform.NewStore(s.Store).Configuration,
		Log:           logs.New(w), Incarnation: rand.Uint64(), Now: time.Now,
	}).Run(ctx)
}
