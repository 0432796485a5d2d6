// Package register converts an asset register and a rules file into a validated configuration.
package register

import (
	"cmp"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// MaxSize is the largest register or rules file in bytes.
const MaxSize = 16 << 20

// Source is an input file.
type Source struct {
	// Name is the file's name in faults.
	Name string
	// Data is the file's content.
	Data []byte
}

// Options are the inputs of Import.
type Options struct {
	// Register is the asset register: CSV with a header.
	Register Source
	// Rules is the rules file: JSON with comments.
	Rules Source
	// Revision replaces the revision of the rules; zero keeps it.
	Revision int64
}

// Rules holds the parts of a configuration that an asset register does not contain.
type Rules struct {
	// Format is the format version of the configuration.
	Format string `json:"format"`
	// Revision is the revision of the configuration.
	Revision int64 `json:"revision"`
	// Author is the author of the configuration.
	Author string `json:"author"`
	// Groups are the expert-parallel groups.
	Groups []configuration.Group `json:"groups"`
	// Workspaces are the workspaces with their priorities and limits.
	Workspaces []configuration.Workspace `json:"workspaces"`
	// Routes tell which requests go to which pool and which are non-idempotent.
	Routes []configuration.Route `json:"routes"`
}

// Import returns the configuration, or all faults of both files.
func Import(o Options) (c *configuration.Configuration, faults document.Faults) {
	rules := &Rules{}
	d := document.Decode(document.Options{File: o.Rules.Name, Keys: ruleKeys(), Size: MaxSize}, o.Rules.Data, rules)
	inventory := readRegister(o.Register)
	c = inventory.configuration
	c.Format, c.Author = rules.Format, rules.Author
	c.Revision = cmp.Or(o.Revision, rules.Revision)
	c.Groups, c.Workspaces, c.Routes = rules.Groups, rules.Workspaces, rules.Routes
	faults = append(d.Faults, d.Unknown...)
	faults = append(faults, inventory.faults...)
	faults = append(faults, checkMerged(o, d, inventory, faults)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return checkEncoded(c)
}

// checkMerged validates the merged configuration and returns its faults with their positions in the files.
// It omits those of a path or cell that already has a fault.
func checkMerged(o Options, d *document.Document, i *inventory, known document.Faults) (faults document.Faults) {
	if !i.headerValid {
		// No rows were read, so every reference to a name would be reported as unknown.
		return nil
	}
	var rules document.Faults
	for _, f := range i.configuration.Check() {
		switch {
		case known.Has(f.Path):
		case strings.HasPrefix(f.Path, "centres"), strings.HasPrefix(f.Path, "entries"), strings.HasPrefix(f.Path, "targets"):
			f.File = o.Register.Name
			f.Line, f.Column = i.positionOf(f.Path)
			if !i.hasFaultAt(f.Line, f.Column) {
				faults = append(faults, f)
			}
		default:
			rules = append(rules, f)
		}
	}
	return append(faults, d.Locate(o.Rules.Data, rules)...).Sorted()
}

// checkEncoded encodes the configuration and parses it as a process does.
func checkEncoded(c *configuration.Configuration) (*configuration.Configuration, document.Faults) {
	data, err := c.Encode()
	if err != nil {
		return nil, document.Faults{{Problem: err.Error()}}
	}
	decoded, faults := configuration.Read("result", data)
	if len(faults) > 0 {
		return nil, faults
	}
	return decoded, nil
}

// ruleKeys returns the descriptions of the keys that rules share with configurations.
func ruleKeys() (keys document.Keys) {
	for _, k := range configuration.Keys {
		top, _, _ := strings.Cut(k.Path, "[")
		switch top {
		case "centres", "entries", "targets":
		default:
			keys = append(keys, k)
		}
	}
	return keys
}
