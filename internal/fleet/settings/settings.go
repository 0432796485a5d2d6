// Package settings holds the settings that a process reads from its file at start.
package settings

import (
	"net/netip"
	"os"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// MaxSize is the largest settings file in bytes.
const MaxSize = 1 << 20

// Settings is the content of a settings file. Keys describes each key.
type Settings struct {
	// Name is the name of the instance in the configuration.
	Name string `json:"name"`
	// Centre is the name of the data centre.
	Centre string `json:"centre"`
	// Platform is the HTTP address of the platform's configuration service and instance list.
	Platform netip.AddrPort `json:"platform"`
	// Listen is where the process serves other processes.
	Listen netip.AddrPort `json:"listen"`
	// Operators is the HTTP address for operators.
	Operators netip.AddrPort `json:"operators"`
	// Callers is the HTTP address for callers; only entries have one.
	Callers netip.AddrPort `json:"callers,omitzero"`
	// Engine is the HTTP address of the target's engine or service; only slots have one.
	Engine netip.AddrPort `json:"engine,omitzero"`
	// Peers are the addresses of entries that the process asks for the configuration at start.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Beat is the time between heartbeats.
	Beat configuration.Duration `json:"beat,omitempty"`
	// Ping is the time without received data after which a connection counts as silent.
	Ping configuration.Duration `json:"ping,omitempty"`
	// Drain is the time for which a stopping process keeps announcing that it is leaving.
	Drain configuration.Duration `json:"drain,omitempty"`
	// Stop is the longest time for which a stopping process waits for requests in progress.
	Stop configuration.Duration `json:"stop,omitempty"`
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
}

// Role is the role of a process.
type Role string

// The roles of processes.
const (
	// RoleEntry is an entry between callers and slots.
	RoleEntry Role = "entry"
	// RoleSlot is the slot of a target.
	RoleSlot Role = "slot"
)

// Load reads the settings file of a process; the error contains all faults.
func Load(path string, role Role) (s *Settings, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(err, "read settings")
	}
	s, faults := Read(path, data)
	if len(faults) == 0 {
		faults = s.CheckRole(role)
		for _, f := range faults {
			f.File = path
		}
	}
	return s, faults.Err()
}

// Parse reads settings from JSON with comments, fills in defaults and checks them.
func Parse(data []byte) (s *Settings, err error) {
	s, faults := Read("", data)
	return s, faults.Err()
}

// Read is Parse for a named file; it returns all faults with their positions.
func Read(file string, data []byte) (s *Settings, faults document.Faults) {
	s = &Settings{}
	d := document.Decode(document.Options{File: file, Keys: Keys, Size: MaxSize}, data, s)
	s.Default()
	faults = append(d.Faults, d.Unknown...)
	var more document.Faults
	for _, f := range s.Check() {
		if !faults.Has(f.Path) {
			more = append(more, f)
		}
	}
	return s, append(faults, d.Locate(data, more)...).Sorted()
}

// Default fills in optional settings that are not set.
func (s *Settings) Default() {
	document.Default(Keys, s)
}

// Check returns all faults of the settings.
func (s *Settings) Check() (faults document.Faults) {
	if s.Name == "" {
		faults.Add("name", "", "the name of this instance is missing")
	}
	if s.Centre == "" {
		faults.Add("centre", "", "the name of the data centre is missing")
	}
	used := map[netip.AddrPort]string{}
	s.checkAddress(&faults, used, "platform", s.Platform, true)
	s.checkAddress(&faults, used, "listen", s.Listen, true)
	s.checkAddress(&faults, used, "operators", s.Operators, false)
	s.checkAddress(&faults, used, "callers", s.Callers, false)
	s.checkAddress(&faults, used, "engine", s.Engine, false)
	return faults
}

// checkAddress checks that a required address is set, that its port is not zero and that no other key has the address.
func (s *Settings) checkAddress(faults *document.Faults, used map[netip.AddrPort]string, path string, a netip.AddrPort, required bool) {
	switch before := used[a]; {
	case !a.IsValid() && required:
		faults.Add(path, "", "an IP address with a port is missing")
	case a.IsValid() && a.Port() == 0:
		faults.Add(path, "write the port after the address", "the port is zero")
	case a.IsValid() && before != "":
		faults.Add(path, "give each its own port", "%s is the address of %s too", a, before)
	}
	used[a] = path
}

// CheckRole returns faults for settings that the role requires and that are missing.
func (s *Settings) CheckRole(role Role) (faults document.Faults) {
	if role == RoleEntry && !s.Callers.IsValid() {
		faults.Add("callers", `add "callers": "10.1.0.11:8080"`, "an entry needs an address for callers")
	}
	if role == RoleSlot && !s.Engine.IsValid() {
		faults.Add("engine", `add "engine": "10.1.0.21:9000"`, "a slot needs the address of its engine or service")
	}
	return faults
}
