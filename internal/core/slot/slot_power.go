package slot

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/site/power"
)

// neighboursPerSide is the number of targets before and after a target, in the order of name hashes, that it lends to.
const neighboursPerSide = 8

// supply is the target's share of the site's power cap.
type supply struct {
	// ledger is nil unless the configuration gives the target a share.
	ledger *power.Ledger
	// loanRandom is the ledger's random source.
	loanRandom *rand.Rand
	// engineRunning is the number of running requests in the engine's latest report.
	engineRunning int
	// auditedStatus is the latest status in the audit trail.
	auditedStatus power.Status
}

// configurePower passes the configured power limits to the ledger.
func (c *Core) configurePower(now time.Time) {
	if c.target.Watts <= 0 {
		c.ledger = nil
		return
	}
	if c.ledger == nil {
		c.ledger = power.NewLedger(now, power.Options{Limits: power.DefaultLimits, Random: c.loanRandom})
	}
	c.ledger.Configure(now, power.Plan{
		Share: c.target.Watts, Idle: c.target.Idle, Draw: c.target.Draw,
		Peers: loanPeers(c.configuration, c.target),
	})
}

// loanPeers returns the targets of the site that a target lends power to and borrows it from.
// The relation is symmetric.
func loanPeers(c *configuration.Configuration, t configuration.Target) []string {
	var names []string
	for _, o := range c.Targets {
		if o.Centre == t.Centre && o.Watts > 0 {
			names = append(names, o.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	at := slices.Index(names, t.Name)
	if len(names) <= 2*neighboursPerSide+1 {
		return slices.Delete(names, at, at+1)
	}
	var near []string
	for i := 1; i <= neighboursPerSide; i++ {
		near = append(near, names[(at+i)%len(names)], names[(at-i+len(names))%len(names)])
	}
	return near
}

// engineLoad returns the load for the ledger. While the ledger recovers from a restart of the slot, the engine may
// still run requests that the earlier slot process started.
func (c *Core) engineLoad(now time.Time) power.Load {
	l := power.Load{Running: c.running}
	if c.ledger.MayRunInheritedWork(now) {
		l.Running = max(c.running, c.engineRunning)
	}
	l.Queued = max(0, min(c.queue.Len(), c.target.Width-l.Running))
	if v, ok := c.queue.Peek(); ok {
		l.Priority = max(l.Priority, v.Priority)
	}
	return l
}

// hasPower reports whether the power share allows starting a job.
func (c *Core) hasPower(now time.Time, j *job) bool {
	if c.ledger == nil {
		return true
	}
	return c.ledger.Admit(now, c.engineLoad(now).Running, j.deadline.Sub(now))
}

// width returns the number of requests that the engine may currently run at once.
func (c *Core) width(now time.Time) int {
	if c.ledger == nil {
		return c.target.Width
	}
	return c.ledger.Width(now, c.target.Width)
}

// tickPower sends the due loan messages and audits changes.
func (c *Core) tickPower(now time.Time) []Action {
	if c.ledger == nil {
		return nil
	}
	return append(c.deliverLoans(c.ledger.Tick(now, c.engineLoad(now))), c.auditPower(now)...)
}

// handleMessage handles an expert map switch or loan message from another slot.
func (c *Core) handleMessage(now time.Time, m *Message) []Action {
	if m.Switch != nil {
		return c.handleGroupMessage(now, m)
	}
	if m.Loan == nil || c.ledger == nil {
		return nil
	}
	sends := c.ledger.Receive(now, m.Source, m.Incarnation, *m.Loan, c.engineLoad(now))
	return append(c.deliverLoans(sends), c.admit(now)...)
}

// deliverLoans turns loan messages into actions.
func (c *Core) deliverLoans(sends []power.Send) (actions []Action) {
	for _, s := range sends {
		if t, ok := c.configuration.Target(s.Peer); ok {
			actions = append(actions, Action{Deliver: &Deliver{Target: t.Name, Address: t.Address, Message: Message{Loan: &s.Message}}})
		}
	}
	return actions
}

// powerStatus returns the ledger's status, or nil without a power cap.
func (c *Core) powerStatus(now time.Time) *power.Status {
	if c.ledger == nil {
		return nil
	}
	s := c.ledger.Status(now)
	return &s
}

// auditPower records a change of the power that the target may draw.
func (c *Core) auditPower(now time.Time) []Action {
	s := c.ledger.Status(now)
	if s == c.auditedStatus {
		return nil
	}
	c.auditedStatus = s
	return []Action{{Audit: &Audit{Kind: "power", Attributes: []any{
		"target", c.name, "share", s.Share, "lent", s.Lent, "borrowed", s.Borrowed,
	}}}}
}
