package sidecar

import (
	"net/netip"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/group/hold"
	"github.com/dragonflydeal/dragonflydeal/internal/group/patch"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/datagram"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/message"
)

// newDatagram returns a datagram that names this slot and is otherwise empty; mu is held.
func (p *Process) newDatagram() *message.News {
	p.sequence++
	return &message.News{
		Name: p.settings.Load().Name, Centre: p.settings.Load().Centre, Incarnation: p.Incarnation, Sequence: p.sequence, Slot: true,
	}
}

func (p *Process) send(n *message.News, addresses []netip.AddrPort) {
	if err := p.transmit(n, addresses); err != nil {
		p.metrics.datagrams.With("event", "unsent").Add(1)
	}
}

// receive handles a datagram of another process.
func (p *Process) receive(from netip.AddrPort, n *message.News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	peer, isNew := datagram.UpdateMesh(now, p.mesh, from, n)
	if peer == nil {
		p.metrics.datagrams.With("event", "old").Add(1)
		return
	}
	if isNew {
		p.Log.Info("peer heard", "peer", n.Name, "address", from, "incarnation", n.Incarnation)
	}
	p.keepRuns(now, from, n, isNew)
	p.keepRetries(now, from, n)
	if n.Rank == nil {
		return
	}
	s := decodeState(n.Rank)
	p.rankStates[from], p.knownMaps[from] = s, n.Known
	before := p.core.State()
	p.core.ReceiveState(now, s, p.decodePatched(n.Attempt))
	p.logChanges()
	p.recordPace(now, s)
	p.recordCounts(s, n)
	after := p.core.State()
	if p.core.Busy() && (before.Ballot != after.Ballot || before.Phase != after.Phase || p.core.HasNextOrder(now)) {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// keepRuns keeps the lost runs that an entry reports, and sends them to an entry that is new; mu is held.
func (p *Process) keepRuns(now time.Time, from netip.AddrPort, n *message.News, isNew bool) {
	if n.Slot {
		return
	}
	if runs := p.suspects.Runs(now); isNew && len(runs) > 0 {
		reply := p.newDatagram()
		reply.Runs = message.EncodeRuns(now, runs)
		p.send(reply, []netip.AddrPort{from})
	}
	for _, r := range n.Runs {
		p.suspects.Learn(now, r.Decode(now))
	}
}

// keepRetries keeps what an entry has counted of its retries, and sends it what the processes before it at its address had counted if it
// lacks that; mu is held.
func (p *Process) keepRetries(now time.Time, from netip.AddrPort, n *message.News) {
	if n.Slot || n.Retries == nil {
		return
	}
	p.retries.Keep(now, from, n.Incarnation, n.Retries.Decode(now), n.Retries.Complete, p.settings.Load().Retries.Window)
	if earlier := p.retries.Earlier(from); !n.Retries.Complete && earlier.Services != nil {
		reply := p.newDatagram()
		reply.Retries = message.EncodeRecords(now, earlier, true)
		p.send(reply, []netip.AddrPort{from})
	}
}

// recordCounts passes the counts and the experts of a rank to the planner if this slot is the leader; mu is held.
func (p *Process) recordCounts(s hold.State, n *message.News) {
	if p.planner == nil || len(n.Counts) == 0 && len(n.Experts) == 0 || !p.core.IsLeader() {
		return
	}
	p.planner.Count(n.Counts)
	if len(n.Experts) == 0 {
		return
	}
	experts := make([][]int, len(n.Experts))
	for i, m := range n.Experts {
		experts[i] = decodeExperts(m)
	}
	p.planner.SetRankExperts(s.Rank, s.Epoch, hold.RankExperts{MapVersion: n.Map, Experts: experts})
}

// planSwitch begins a switch if this slot is the leader and the planner finds an expert map worth the cost.
func (p *Process) planSwitch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.planner == nil || !p.core.IsLeader() {
		return
	}
	own := p.core.State()
	p.planner.Count(p.tally.Take())
	p.planner.SetRankExperts(own.Rank, own.Epoch, p.rankExperts)
	p.planner.Measure(now, own.MapVersion)
	p.planner.Decay(now)
	if !p.core.Ready(now) {
		return
	}
	d, ok := p.planner.Decide(now, own.Epoch, own.MapVersion, own.Size)
	if !ok {
		return
	}
	p.Log.Info("balance", "loaded", d.Loaded, "skew", d.StepTime, "next", d.NextStepTime, "bias", d.Bias(), "slow", d.Slow, "map", own.MapVersion, "step", own.Step)
	if p.core.Begin(now, patch.Sort(d.Map)) {
		p.planner.SwitchBegun(p.core.Published().Version)
	}
	p.logChanges()
}
