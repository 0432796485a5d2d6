// Package commands implements the command line of dragonflydeal.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

// Exit codes of all commands.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command ran and failed, such as a trial that found a violated invariant.
	ExitFailed = 1
	// ExitUsage means that the arguments or an input file were invalid; nothing was done.
	ExitUsage = 2
)

// Version is the version of the program.
const Version = "0.1.0"

// arguments declares the subcommands.
type arguments struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry between callers and slots"`
	Slot    *slotCommand    `arg:"subcommand:slot" help:"run the slot of a target"`
	Trial   *trialCommand   `arg:"subcommand:trial" help:"run a small site on loopback with load and faults, and say what held"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check settings and configuration files"`
	Import  *importCommand  `arg:"subcommand:import" help:"make a configuration of an asset register and rules"`
	Status  *statusCommand  `arg:"subcommand:status" help:"read processes at their operators' addresses"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell from logs on standard input what happened to a request on the users' platform"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// versionCommand prints the version.
type versionCommand struct{}

// command is implemented by every subcommand.
type command interface {
	run(ctx context.Context, stdout, stderr io.Writer) error
}

// Execute runs the command line and returns the exit code.
func Execute(args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "dragonflydeal", Out: stdout}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(stdout)
		writeExamples(stdout, parser.SubcommandNames())
		return ExitOK
	case err != nil:
		parser.WriteUsage(stderr)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(stderr)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return reportError(parser.Subcommand().(command).run(ctx, stdout, stderr), stderr)
}

// usageError describes invalid arguments; the command exits with ExitUsage.
type usageError string

// Error implements the error interface.
func (e usageError) Error() string { return string(e) }

// reportError prints an error, if there is one, and returns the exit code.
func reportError(err error, stderr io.Writer) int {
	var faults document.Faults
	var usage usageError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		fmt.Fprintln(stderr, "error:", usage)
		return ExitUsage
	case errors.As(err, &faults):
		fmt.Fprintln(stderr, faults)
		return ExitUsage
	}
	fmt.Fprintln(stderr, "error:", err)
	return ExitFailed
}

func (*versionCommand) run(_ context.Context, stdout, _ io.Writer) error {
	_, err := fmt.Fprintln(stdout, "dragonflydeal", Version, runtime.Version())
	return err
}
