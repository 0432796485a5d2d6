package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/operator/register"
)

// importCommand builds a configuration from an asset register and a rules file.
type importCommand struct {
	Register string `arg:"-a,--register,required" placeholder:"REGISTER" help:"asset register, CSV"`
	Rules    string `arg:"-r,--rules,required" placeholder:"RULES" help:"rules, JSON with comments"`
	Out      string `arg:"-o,--out" placeholder:"FILE" help:"write the configuration there instead of the standard output"`
	Revision int64  `arg:"--revision" placeholder:"NUMBER" help:"revision of the configuration instead of the rules' one"`
}

func (c *importCommand) run(_ context.Context, stdout, stderr io.Writer) error {
	assets, faults := readFile(c.Register)
	rules, rulesFaults := readFile(c.Rules)
	if faults = append(faults, rulesFaults...); len(faults) > 0 {
		return faults
	}
	result, faults := register.Import(register.Options{
		Register: register.Source{Name: c.Register, Data: assets},
		Rules:    register.Source{Name: c.Rules, Data: rules},
		Revision: c.Revision,
	})
	if len(faults) > 0 {
		return faults
	}
	data, err := result.Encode()
	if err != nil {
		return err
	}
	var text bytes.Buffer
	if err := json.Indent(&text, data, "", "  "); err != nil {
		return err
	}
	text.WriteByte('\n')
	if c.Out == "" {
		_, err = stdout.Write(text.Bytes())
		return err
	}
	fmt.Fprintf(stderr, "revision %d: %d centres, %d entries, %d targets\n",
		result.Revision, len(result.Centres), len(result.Entries), len(result.Targets))
	return replaceFile(c.Out, text.Bytes())
}

// replaceFile replaces a file atomically: a reader sees the whole old content or the whole new one.
func replaceFile(path string, data []byte) (err error) {
	defer func() {
		if err != nil {
			err = merry.Prependf(err, "write %s", path)
		}
	}()
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	// Removes the temporary file after an error; after the rename it no longer exists.
	defer func() { _ = os.Remove(f.Name()) }()
	if err := writeAll(f, data); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// fileMode makes a configuration readable for all users; os.CreateTemp restricts it to the owner.
const fileMode = 0o644

// writeAll writes, syncs and closes a file.
func writeAll(f *os.File, data []byte) (err error) {
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
	}()
	if _, err := f.Write(data); err != nil {
		return err
	}
	if err := f.Chmod(fileMode); err != nil {
		return err
	}
	return f.Sync()
}
