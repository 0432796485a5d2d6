package commands

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/process/entryd"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/process/slotd"
)

// processArgs holds the arguments that the commands entry and slot share.
type processArgs struct {
	Settings string `arg:"-s,--settings" placeholder:"SETTINGS" help:"settings file, JSON with comments; the platform's own file with --platform"`
	Platform bool   `arg:"--platform" help:"run on the users' platform, with the settings file that it names in the environment"`
	Verbose  bool   `arg:"-v,--verbose" help:"log debug events too"`
}

// entryCommand runs an entry.
type entryCommand struct {
	processArgs
}

// slotCommand runs a slot.
type slotCommand struct {
	processArgs
}

func (c *entryCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	hangups := catchHangups()
	if c.Platform {
		return c.runGateway(ctx, hangups, stdout)
	}
	options, err := c.options(stderr, settings.RoleEntry)
	if err != nil {
		return err
	}
	go logHangups(hangups, options.Log)
	return entryd.New(entryd.Options{Options: options, Random: newRandom()}).Run(ctx)
}

func (c *slotCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	hangups := catchHangups()
	if c.Platform {
		return c.runSidecar(ctx, hangups, stdout)
	}
	options, err := c.options(stderr, settings.RoleSlot)
	if err != nil {
		return err
	}
	go logHangups(hangups, options.Log)
	return slotd.New(slotd.Options{Options: options, Random: newRandom()}).Run(ctx)
}

// catchHangups returns the SIGHUPs that the process receives from now on. The default action is never restored: it would end the process,
// which still serves requests while it stops.
func catchHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// logHangups logs that the settings, which are read at the start, are not read again.
func logHangups(hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		log.Warn("SIGHUP ignored, a change of the settings needs a restart")
	}
}

// options reads the settings and creates the logger.
func (a *processArgs) options(stderr io.Writer, role settings.Role) (o node.Options, err error) {
	if a.Settings == "" {
		return node.Options{}, usageError("SETTINGS is required")
	}
	s, err := settings.Load(a.Settings, role)
	if err != nil {
		return node.Options{}, err
	}
	level := slog.LevelInfo
	if a.Verbose {
		level = slog.LevelDebug
	}
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: level}))
	return node.Options{Settings: s, Log: log, Now: time.Now}, nil
}

// newRandom returns a randomly seeded random source.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
