package configuration

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/base/document"
)

// checker collects the faults of a configuration.
type checker struct {
	document.Faults
	configuration *Configuration
	centres       map[string]bool
	groups        map[string]bool
	pools         map[string]bool
	// addresses maps each used address to its path in the configuration.
	addresses map[netip.AddrPort]string
}

// Check returns all faults of a configuration with their paths.
func (c *Configuration) Check() document.Faults {
	k := &checker{
		configuration: c, centres: map[string]bool{}, groups: map[string]bool{}, pools: map[string]bool{},
		addresses: map[netip.AddrPort]string{},
	}
	if c.Revision <= 0 {
		k.Add("revision", "number revisions from 1", "%d is not above zero", c.Revision)
	}
	k.checkCentres()
	k.checkEntries()
	k.checkGroups()
	k.checkTargets()
	k.checkRanks()
	k.checkPower()
	k.checkWorkspaces()
	k.checkRoutes()
	return k.Faults
}

// checkUnique adds a fault for a name that is empty or already in names, and adds the name.
func (k *checker) checkUnique(names map[string]bool, path, name string) {
	switch {
	case name == "":
		k.Add(path, "write a name", "the name is empty")
	case names[name]:
		k.Add(path, "choose another name", "%q is used twice", name)
	}
	names[name] = true
}

// checkKnown adds a fault for a name that is not in names and suggests a similar one.
func (k *checker) checkKnown(names map[string]bool, path, name, kind string) {
	if names[name] {
		return
	}
	fix := "add it, or write the name of " + kind
	if suggestion := document.Suggest(name, slices.Sorted(maps.Keys(names))); suggestion != "" {
		fix = fmt.Sprintf("did you mean %q?", suggestion)
	}
	k.Add(path, fix, "%q is not the name of %s", name, kind)
}

// checkAddress adds a fault for an address that is missing or used twice.
func (k *checker) checkAddress(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		k.Add(path, `write for example "10.1.0.21:7400"`, "an IP address with a port is missing")
		return
	}
	if before, ok := k.addresses[a]; ok {
		k.Add(path, "give each instance its own address", "%s is the address of %s too", a, before)
	}
	k.addresses[a] = path
}

func (k *checker) checkCentres() {
	for i, v := range k.configuration.Centres {
		k.checkUnique(k.centres, fmt.Sprintf("centres[%d].name", i), v.Name)
	}
}

func (k *checker) checkEntries() {
	names := map[string]bool{}
	for i, v := range k.configuration.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		k.checkUnique(names, path+".name", v.Name)
		k.checkKnown(k.centres, path+".centre", v.Centre, "a data centre")
		k.checkAddress(path+".address", v.Address)
	}
}

func (k *checker) checkGroups() {
	for i, v := range k.configuration.Groups {
		k.checkUnique(k.groups, fmt.Sprintf("groups[%d].name", i), v.Name)
	}
}

func (k *checker) checkTargets() {
	names := map[string]bool{}
	for i, v := range k.configuration.Targets {
		path := fmt.Sprintf("targets[%d]", i)
		k.checkUnique(names, path+".name", v.Name)
		k.checkKnown(k.centres, path+".centre", v.Centre, "a data centre")
		if v.Kind != KindEngine && v.Kind != KindService {
			k.Add(path+".kind", fmt.Sprintf("write %q or %q", KindEngine, KindService), "%q is not a kind of target", v.Kind)
		}
		if v.Width <= 0 {
			k.Add(path+".width", "write the number of requests that it runs at once", "%d is not above zero", v.Width)
		}
		if v.Group != "" {
			k.checkKnown(k.groups, path+".group", v.Group, "a group")
		}
		k.checkAddress(path+".address", v.Address)
		k.pools[v.Pool] = true
	}
}

// checkRanks checks that no two targets of a group have the same rank.
func (k *checker) checkRanks() {
	type groupRank struct {
		group string
		rank  int
	}
	taken := map[groupRank]string{}
	for i, v := range k.configuration.Targets {
		s := groupRank{v.Group, v.Rank}
		if v.Group == "" {
			continue
		}
		if before := taken[s]; before != "" {
			k.Add(fmt.Sprintf("targets[%d].rank", i), "number the ranks of a group from 0", "rank %d of group %q is that of %s too", v.Rank, v.Group, before)
		}
		taken[s] = v.Name
	}
}

// checkPower checks that the shares of a site sum to at most its cap and that the idle draw is at most the share.
func (k *checker) checkPower() {
	sums := map[string]int64{}
	for i, v := range k.configuration.Targets {
		sums[v.Centre] += v.Watts
		path := fmt.Sprintf("targets[%d]", i)
		if v.Watts < 0 || v.Idle < 0 || v.Draw < 0 {
			k.Add(path+".watts", "write 0 or more", "watts, idle or draw is below zero")
		}
		if v.Watts > 0 && v.Idle > v.Watts {
			k.Add(path+".idle", "raise the share or lower the idle draw", "the idle draw of %d W is above the share of %d W", v.Idle, v.Watts)
		}
	}
	for i, v := range k.configuration.Centres {
		if v.Watts > 0 && sums[v.Name] > v.Watts {
			k.Add(fmt.Sprintf("centres[%d].watts", i), "lower the targets' shares", "the targets' shares sum to %d W, the cap is %d W", sums[v.Name], v.Watts)
		}
	}
}

func (k *checker) checkWorkspaces() {
	names := map[string]bool{}
	for i, v := range k.configuration.Workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		k.checkUnique(names, path+".name", v.Name)
		if v.Rate < 0 || v.Burst < 0 || v.Weight < 0 {
			k.Add(path, "write 0 or more", "rate, burst or weight is below zero")
		}
	}
}

func (k *checker) checkRoutes() {
	names, prefixes := map[string]bool{}, map[string]bool{}
	for i, v := range k.configuration.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		k.checkUnique(names, path+".name", v.Name)
		if !strings.HasPrefix(v.Prefix, "/") {
			k.Add(path+".prefix", `write for example "/v1/desk"`, "%q does not start with a slash", v.Prefix)
		}
		if prefixes[v.Prefix] {
			k.Add(path+".prefix", "give each route its own prefix", "%q is used twice", v.Prefix)
		}
		prefixes[v.Prefix] = true
		k.checkKnown(k.pools, path+".pool", v.Pool, "a pool with a target")
		if v.Timeout <= 0 {
			k.Add(path+".timeout", `write for example "30s"`, "a time above zero is missing")
		}
	}
}
