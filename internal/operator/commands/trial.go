package commands

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/site"
)

// trialCommand runs a small site on loopback in this process.
type trialCommand struct {
	Seed    uint64 `arg:"--seed" default:"1" help:"seed of the choices of load and processes"`
	JSON    bool   `arg:"--json" help:"print the result as JSON; progress goes to the standard error"`
	Stay    bool   `arg:"--stay" help:"keep the site running, without load, and print command lines to try"`
	Verbose bool   `arg:"-v,--verbose" help:"print the processes' logs to the standard error"`
}

// errInvariantViolated reports a trial that found a violated invariant.
var errInvariantViolated = merry.Sentinel("the trial found a violated invariant")

func (c *trialCommand) run(ctx context.Context, stdout, stderr io.Writer) error {
	log := slog.New(slog.DiscardHandler)
	if c.Verbose {
		log = slog.New(slog.NewTextHandler(stderr, nil))
	}
	options := site.Options{Shape: site.DefaultShape, Seed: c.Seed, Log: log}
	if c.Stay {
		return site.Stay(ctx, options, stdout)
	}
	progress := stdout
	if c.JSON {
		progress = stderr
	}
	report, err := site.Run(ctx, options, progress)
	if err != nil {
		return err
	}
	if err := c.print(report, stdout); err != nil {
		return err
	}
	if !report.Held() {
		return errInvariantViolated
	}
	return nil
}

// print writes the result in the chosen form.
func (c *trialCommand) print(r *site.Report, stdout io.Writer) error {
	if !c.JSON {
		return r.Write(stdout)
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}
