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

// neighbours is the number of targets on each side, in the order of their hashes, that lend to one another.
const neighbours = 8

// supply is the target's part of its site's power cap.
type supply struct {
	// ledger is nil until a configuration gives the target a share.
	ledger *power.Ledger
	// random is the source of chance of the ledger.
	random *rand.Rand
	// reported is the number of running requests in the engine's newest report.
	reported int
	// known is the newest status in the audit trail.
	known power.Status
}

// plan passes what the configuration says of power to the ledger.
func (c *Core) plan(now time.Time) {
	if c.target.Watts <= 0 {
		c.ledger = nil
		return
	}
	if c.ledger == nil {
		c.ledger = power.NewLedger(now, power.Options{Limits: power.DefaultLimits, Random: c.random})
	}
	c.ledger.Configure(now, power.Plan{
		Share: c.target.Watts, Idle: c.target.Idle, Draw: c.target.Draw,
		Peers: lenders(c.configuration, c.target),
	})
}

// lenders returns the targets of the site that lend to a target and borrow from it. The relation is symmetric.
func lenders(c *configuration.Configuration, t configuration.Target) []string {
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
	if len(names) <= 2*neighbours+1 {
		return slices.Delete(names, at, at+1)
	}
	var near []string
	for i := 1; i <= neighbours; i++ {
		near = append(near, names[(at+i)%len(names)], names[(at-i+len(names))%len(names)])
	}
	return near
}

// engineLoad returns the work at the target. An engine may still run what an earlier slot process started.
func (c *Core) engineLoad(now time.Time) power.Load {
	l := power.Load{Running: c.running}
	if c.ledger.Recovering(now) {
		l.Running = max(c.running, c.reported)
	}
	l.Queued = max(0, min(c.queue.Len(), c.target.Width-l.Running))
	if v, ok := c.queue.Peek(); ok {
		l.Priority = max(l.Priority, v.Priority)
	}
	return l
}

// powered reports whether there is power to start a job.
func (c *Core) powered(now time.Time, j *job) bool {
	if c.ledger == nil {
		return true
	}
	return c.ledger.Admit(now, c.engineLoad(now).Running, j.deadline.Sub(now))
}

// width returns the number of requests that the engine may run at once now.
func (c *Core) width(now time.Time) int {
	if c.ledger == nil {
		return c.target.Width
	}
	return c.ledger.Width(now, c.target.Width)
}

// lend does what is due on loans.
func (c *Core) lend(now time.Time) []Action {
	if c.ledger == nil {
		return nil
	}
	return append(c.deliverLoans(c.ledger.Tick(now, c.engineLoad(now))), c.auditPower(now)...)
}

// hear takes in a message from another slot.
func (c *Core) hear(now time.Time, m *Message) []Action {
	if m.Switch != nil {
		return c.hearGroup(now, m)
	}
	if m.Loan == nil || c.ledger == nil {
		return nil
	}
	sends := c.ledger.Receive(now, m.Source, m.Incarnation, *m.Loan, c.engineLoad(now))
	return append(c.deliverLoans(sends), c.admit(now)...)
}

// deliverLoans turns messages of lending into actions.
func (c *Core) deliverLoans(sends []power.Send) (actions []Action) {
	for _, s := range sends {
		if t, ok := c.configuration.Target(s.Peer); ok {
			actions = append(actions, Action{Deliver: &Deliver{Target: t.Name, Address: t.Address, Message: Message{Loan: &s.Message}}})
		}
	}
	return actions
}

// powerStatus returns the ledger's summary, or nil when nothing is limited.
func (c *Core) powerStatus(now time.Time) *power.Status {
	if c.ledger == nil {
		return nil
	}
	s := c.ledger.Status(now)
	return &s
}

// auditPower records a change of what the target may draw.
func (c *Core) auditPower(now time.Time) []Action {
	s := c.ledger.Status(now)
	if s == c.known {
		return nil
	}
	c.known = s
	return []Action{{Audit: &Audit{Kind: "power", Attributes: []any{
		"target", c.name, "share", s.Share, "lent", s.Lent, "borrowed", s.Borrowed,
	}}}}
}
