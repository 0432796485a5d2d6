package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
)

// checkCommand validates files with the same parsers that the processes use.
type checkCommand struct {
	Settings      []string `arg:"-s,--settings,separate" placeholder:"FILE" help:"settings file; may be repeated"`
	Configuration []string `arg:"-c,--configuration,separate" placeholder:"FILE" help:"configuration file; may be repeated"`
	Role          string   `arg:"-r,--role" placeholder:"entry|slot" help:"also check what this role needs in the settings"`
}

func (c *checkCommand) run(_ context.Context, stdout, _ io.Writer) error {
	var faults document.Faults
	if len(c.Settings)+len(c.Configuration) == 0 {
		faults.Add("", "name one with --settings or --configuration", "there is no file to check")
	}
	if c.Role != "" && c.Role != string(settings.RoleEntry) && c.Role != string(settings.RoleSlot) {
		faults.Add("--role", "write entry or slot", "%q is not a role", c.Role)
	}
	for _, path := range c.Settings {
		faults = append(faults, c.checkSettings(path)...)
	}
	for _, path := range c.Configuration {
		faults = append(faults, checkConfiguration(path, stdout)...)
	}
	if len(faults) == 0 {
		fmt.Fprintf(stdout, "%d files, no faults\n", len(c.Settings)+len(c.Configuration))
	}
	return faults.Err()
}

// checkSettings returns the faults of a settings file.
func (c *checkCommand) checkSettings(path string) document.Faults {
	data, faults := readFile(path)
	if len(faults) > 0 {
		return faults
	}
	s, faults := settings.Read(path, data)
	if c.Role == "" {
		return faults
	}
	for _, f := range s.CheckRole(settings.Role(c.Role)) {
		f.File = path
		faults = append(faults, f)
	}
	return faults
}

// checkConfiguration returns the faults of a configuration file and prints its warnings.
func checkConfiguration(path string, stdout io.Writer) document.Faults {
	data, faults := readFile(path)
	if len(faults) > 0 {
		return faults
	}
	c, faults := configuration.Read(path, data)
	for _, w := range c.Warnings() {
		fmt.Fprintln(stdout, "warning:", w, "(a newer minor format; the key is not in force)")
	}
	return faults
}

// readFile reads an input file; a read error becomes a fault of that file.
func readFile(path string) (data []byte, faults document.Faults) {
	data, err := os.ReadFile(path)
	if err != nil {
		faults = append(faults, &document.Fault{File: path, Problem: err.Error()})
	}
	return data, faults
}
