// Package capacity measures the cost of control, without requests, for each role as the fleet grows.
//
// Run it with: go test ./internal/proof/capacity -run '^$' -bench . -benchtime 20x
package capacity

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/membership"
)

// Size of the fleet two years from now.
const (
	fullCentres    = 9
	fullEntries    = 630
	fullTargets    = 3700
	fullWorkspaces = 3000
	models         = 12
	// heartbeatInterval is the default setting.
	heartbeatInterval = 250 * time.Millisecond
)

// fleetDivisors are the measured sizes, as divisors of the full fleet.
var fleetDivisors = []int{8, 4, 2, 1}

// epoch is the simulated time at which every measurement begins.
var epoch = time.Unix(1_700_000_000, 0)

// newConfiguration returns the configuration of the full fleet divided by a number.
func newConfiguration(divisor int) *configuration.Configuration {
	c := &configuration.Configuration{Format: "1.0", Revision: 1, Author: "operator"}
	for i := range fullCentres {
		c.Centres = append(c.Centres, configuration.Centre{Name: fmt.Sprintf("c%d", i)})
	}
	for i := range fullEntries / divisor {
		c.Entries = append(c.Entries, configuration.Entry{
			Name: fmt.Sprintf("entry-%03d", i), Centre: c.Centres[i%fullCentres].Name, Address: address(10, i),
		})
	}
	for i := range fullTargets / divisor {
		c.Targets = append(c.Targets, configuration.Target{
			Name: fmt.Sprintf("desk-%04d", i), Centre: c.Centres[i%fullCentres].Name, Kind: configuration.KindEngine,
			Pool: fmt.Sprintf("model-%d", i%models), Address: address(11, i), Width: 8,
		})
	}
	for i := range fullWorkspaces / divisor {
		c.Workspaces = append(c.Workspaces, configuration.Workspace{Name: fmt.Sprintf("workspace-%04d", i), Rate: 10, Burst: 20})
	}
	for i := range models {
		c.Routes = append(c.Routes, configuration.Route{
			Name: fmt.Sprintf("model-%d", i), Prefix: fmt.Sprintf("/v1/model-%d", i), Pool: fmt.Sprintf("model-%d", i),
			Stream: true, Timeout: configuration.Duration(time.Minute),
		})
	}
	return c
}

func address(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{net, byte(i >> 8), byte(i), 1}), uint16(1000+i*7919%60000))
}

// newRandom returns a random source with a fixed seed.
func newRandom(seed int) *rand.Rand {
	return rand.New(rand.NewPCG(1, uint64(seed)))
}

// newEntry returns the core of the i-th entry with the configuration in force.
func newEntry(c *configuration.Configuration, i int) *entry.Core {
	core := entry.New(entry.Options{
		Name: c.Entries[i].Name, Centre: c.Entries[i].Centre, Random: newRandom(i), HeartbeatInterval: heartbeatInterval, DrainTime: time.Second,
	})
	core.Handle(epoch, entry.Event{Configuration: c})
	return core
}

// newHeartbeat returns a heartbeat of a serving target.
func newHeartbeat(target string, sequence int) membership.Heartbeat {
	return membership.Heartbeat{
		Target: target, Incarnation: 0x9e3779b97f4a7c15, Sequence: uint64(sequence), State: membership.StateServing,
		Running: 5, Queued: 3, Width: 8, Revision: 1,
	}
}

// liveHeap returns the bytes of live heap objects.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// forEachFleetSize runs a benchmark for each of the fleetDivisors.
func forEachFleetSize(b *testing.B, run func(b *testing.B, c *configuration.Configuration)) {
	for _, divisor := range fleetDivisors {
		c := newConfiguration(divisor)
		b.Run(fmt.Sprintf("entries=%d/targets=%d", len(c.Entries), len(c.Targets)), func(b *testing.B) { run(b, c) })
	}
}

// reportCPU reports the share of a processor core if one iteration is one second of control.
func reportCPU(b *testing.B) {
	b.ReportMetric(100*b.Elapsed().Seconds()/float64(b.N), "%core")
}
