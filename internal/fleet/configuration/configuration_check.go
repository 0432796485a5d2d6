package configuration

import "fmt"

// Check returns every fault of a configuration with its place.
func (c *Configuration) Check() (faults []error) {
	add := func(format string, args ...any) {
		faults = append(faults, fmt.Errorf(format, args...))
	}
	if c.Revision <= 0 {
		add("revision: %d is not above zero", c.Revision)
	}
	centres := map[string]bool{}
	for i, v := range c.Centres {
		if v.Name == "" || centres[v.Name] {
			add("centres[%d].name: %q is empty or used twice", i, v.Name)
		}
		centres[v.Name] = true
	}
	entries := map[string]bool{}
	for i, v := range c.Entries {
		if v.Name == "" || entries[v.Name] {
			add("entries[%d].name: %q is empty or used twice", i, v.Name)
		}
		entries[v.Name] = true
		if !centres[v.Centre] {
			add("entries[%d].centre: %q is not a data centre", i, v.Centre)
		}
	}
	targets := map[string]bool{}
	pools := map[string]bool{}
	for i, v := range c.Targets {
		if v.Name == "" || targets[v.Name] {
			add("targets[%d].name: %q is empty or used twice", i, v.Name)
		}
		targets[v.Name] = true
		pools[v.Pool] = true
		if !centres[v.Centre] {
			add("targets[%d].centre: %q is not a data centre", i, v.Centre)
		}
		if v.Kind != KindEngine && v.Kind != KindService {
			add("targets[%d].kind: %q is neither %q nor %q", i, v.Kind, KindEngine, KindService)
		}
		if v.Width <= 0 {
			add("targets[%d].width: %d is not above zero", i, v.Width)
		}
		if !v.Address.IsValid() {
			add("targets[%d].address: an IP address with a port is missing", i)
		}
	}
	for i, v := range c.Routes {
		if !pools[v.Pool] {
			add("routes[%d].pool: no target is in pool %q", i, v.Pool)
		}
		if v.Timeout <= 0 {
			add("routes[%d].timeout: a time above zero is missing", i)
		}
	}
	return faults
}
