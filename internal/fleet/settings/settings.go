// Package settings holds what a process reads from its own file at start.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// Default values of optional settings.
const (
	defaultBeat  = configuration.Duration(250 * time.Millisecond)
	defaultStop  = configuration.Duration(60 * time.Second)
	defaultPing  = configuration.Duration(500 * time.Millisecond)
	defaultBody  = 1 << 20
	defaultDrain = configuration.Duration(2 * time.Second)
)

// Settings is the content of a settings file.
type Settings struct {
	// Name is the name of the instance in the configuration.
	Name string `json:"name"`
	// Centre is the name of the data centre.
	Centre string `json:"centre"`
	// Platform is the HTTP address of the platform's configuration service and instance list.
	Platform netip.AddrPort `json:"platform"`
	// Listen is where the process serves the system's other processes.
	Listen netip.AddrPort `json:"listen"`
	// Operators is the operators' HTTP address.
	Operators netip.AddrPort `json:"operators"`
	// Callers is the callers' HTTP address; only entries have one.
	Callers netip.AddrPort `json:"callers,omitzero"`
	// Engine is the HTTP address of the target's engine or service; only slots have one.
	Engine netip.AddrPort `json:"engine,omitzero"`
	// Peers are addresses of entries that are asked for the configuration at start.
	Peers []netip.AddrPort `json:"peers,omitempty"`
	// Beat is the time between heartbeats.
	Beat configuration.Duration `json:"beat,omitempty"`
	// Ping is the time without a sign of life after which a connection counts as silent.
	Ping configuration.Duration `json:"ping,omitempty"`
	// Drain is the time that a stopping process goes on announcing that it leaves.
	Drain configuration.Duration `json:"drain,omitempty"`
	// Stop is the longest time that a stop waits for requests in progress.
	Stop configuration.Duration `json:"stop,omitempty"`
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
}

// Load reads a settings file.
func Load(path string) (s *Settings, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("settings %s: %w", path, err)
		}
	}()
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(data)
}

// Parse reads settings from JSON with comments, fills in defaults and checks them.
func Parse(data []byte) (s *Settings, err error) {
	plain, err := hujson.Standardize(bytes.Clone(data))
	if err != nil {
		return nil, err
	}
	s = &Settings{}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, err
	}
	s.Default()
	return s, errors.Join(s.Check()...)
}

// Default fills in optional settings that are not set.
func (s *Settings) Default() {
	set(&s.Beat, defaultBeat)
	set(&s.Ping, defaultPing)
	set(&s.Drain, defaultDrain)
	set(&s.Stop, defaultStop)
	set(&s.Body, defaultBody)
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Check returns every fault of the settings.
func (s *Settings) Check() (faults []error) {
	if s.Name == "" {
		faults = append(faults, errors.New("name: the name of this instance is missing"))
	}
	if s.Centre == "" {
		faults = append(faults, errors.New("centre: the name of the data centre is missing"))
	}
	if !s.Listen.IsValid() {
		faults = append(faults, errors.New("listen: an IP address with a port is missing"))
	}
	if !s.Platform.IsValid() {
		faults = append(faults, errors.New("platform: an IP address with a port is missing"))
	}
	return faults
}
