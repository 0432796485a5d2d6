package commands

import (
	"context"
	"errors"
	"io"
	"os"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/trace"
)

// explainCommand explains from logs what happened to one request.
type explainCommand struct {
	ID string `arg:"positional,required" help:"the request's ID, as the caller sent it"`
}

// run reads the logs of all processes from standard input.
func (c *explainCommand) run(_ context.Context, stdout, _ io.Writer) error {
	s, err := trace.Read(os.Stdin, c.ID)
	if errors.Is(err, trace.ErrUnknown) {
		return usageError("no log line on standard input names request " + c.ID + "; pass the logs of all entries")
	}
	if err != nil {
		return err
	}
	return s.Write(stdout)
}
