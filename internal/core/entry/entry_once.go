package entry

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// arriveOnce sends a non-idempotent request to the home that its key names.
func (c *Core) arriveOnce(now time.Time, x *exchange) []Action {
	if x.request.Key == "" {
		return c.mint(now, x)
	}
	k, err := key.Parse(x.request.Key)
	if err != nil || k.Workspace != key.WorkspaceHash(x.request.Workspace) {
		return refuse(x.request.ID, http.StatusBadRequest, "the idempotency key was not given out to this workspace", 0)
	}
	t, ok := c.configuration.Target(k.Home)
	if !ok {
		c.exchanges[x.request.ID] = x
		return c.finish(x, http.StatusBadGateway, call.OutcomeUnknown, "the key's home is no longer configured", 0)
	}
	x.request.Alone = c.book.Verdict(now, x.request.Fingerprint) == suspect.Suspected
	c.exchanges[x.request.ID] = x
	return c.send(now, x, t)
}

// mint answers with a fresh key, which the caller repeats the request with.
func (c *Core) mint(now time.Time, x *exchange) []Action {
	if c.book.Verdict(now, x.request.Fingerprint) == suspect.Convicted {
		return refuse(x.request.ID, http.StatusUnprocessableEntity, suspect.Refusal, 0)
	}
	targets, candidates := c.candidates(now, x)
	i := c.choose(now, x, targets, candidates)
	if i < 0 {
		return refuse(x.request.ID, http.StatusServiceUnavailable, "no target of the pool is in reach", defaultRetry)
	}
	m, _ := c.view.Member(now, targets[i].Name)
	k := key.Key{
		Home: targets[i].Name, Incarnation: m.Incarnation, Minted: now,
		Random: c.random.Uint64(), Workspace: key.WorkspaceHash(x.request.Workspace),
	}
	actions := refuse(x.request.ID, http.StatusPreconditionRequired, "repeat the request with this idempotency key", 0)
	actions[0].Finish.Key = k.String()
	return actions
}
