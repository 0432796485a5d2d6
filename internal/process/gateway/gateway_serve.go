package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// bodyLimit bounds a body while no configuration says how long one may be.
	bodyLimit = 4 << 20
	// currencySlack is kept of the time within which a removed key must stop working.
	currencySlack = 400 * time.Millisecond
	// shortAdvice is when a caller may come back that another entry can serve at once.
	shortAdvice = 200 * time.Millisecond
	// usualLimit is the time limit of a call where neither the caller nor the route sets one.
	usualLimit = 30 * time.Second
)

// request is one request in progress.
type request struct {
	process *Process
	*call.Call
	writer http.ResponseWriter
	caller *http.Request
	// configuration decides all of the request, also when a newer one comes meanwhile.
	configuration *site.Configuration
	route         *site.Route
	service       *site.Service
	workspace     string
	priority      int
	// began is when the request was read, and deadline when its answer must have ended.
	began, deadline time.Time
	// tried holds the targets that had the request, and runs counts those that may have run it.
	tried map[string]bool
	runs  int
	// sends counts the sendings.
	sends int
	// wrote tells that the head of an answer went to the caller.
	wrote bool
}

// serve handles one request of a caller.
func (p *Process) serve(w http.ResponseWriter, r *http.Request) {
	began := p.Now()
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	limit := int64(bodyLimit)
	if c := p.configuration.Load(); c != nil && c.Body > 0 {
		limit = c.Body
	}
	v := &request{process: p, writer: w, caller: r, began: began, tried: map[string]bool{}}
	c, err := p.Codec.DecodeCall(r, limit)
	var long *http.MaxBytesError
	switch {
	case errors.As(err, &long):
		v.refuse(http.StatusRequestEntityTooLarge, "body too long", 0)
		return
	case err != nil && r.Context().Err() != nil:
		v.finish("abandoned", "caller left before its request was read")
		return
	case err != nil:
		v.refuse(http.StatusBadRequest, err.Error(), 0)
		return
	}
	v.Call = c
	if v.place() {
		v.run()
	}
}

// place finds what the configuration says of the request and reports whether it may run.
func (v *request) place() bool {
	p := v.process
	c := p.configuration.Load()
	if c == nil {
		v.refuse(http.StatusServiceUnavailable, "no configuration yet", shortAdvice)
		return false
	}
	v.configuration = c
	if v.route = c.Match(v.Host, v.Path); v.route == nil {
		v.deny(http.StatusNotFound, "no route")
		return false
	}
	v.priority = v.route.Priority
	if c.RequiresKeys && !v.route.Public && !v.authorize(c) {
		return false
	}
	limit := v.route.Timeout
	if limit <= 0 {
		limit = usualLimit
	}
	if v.Timeout > 0 {
		limit = min(limit, v.Timeout)
	}
	v.deadline = v.began.Add(limit)
	if p.closed.Load() {
		v.refuse(http.StatusServiceUnavailable, "stopping", shortAdvice)
		return false
	}
	return true
}

// authorize finds the workspace of the caller's key.
func (v *request) authorize(c *site.Configuration) bool {
	workspace, ok := c.Workspaces[v.Key]
	if !ok {
		v.deny(http.StatusUnauthorized, "unknown key")
		return false
	}
	if age, ok := v.process.age(); !ok {
		v.refuse(http.StatusServiceUnavailable, "configuration too old for keys: "+age.String(), shortAdvice)
		return false
	}
	v.workspace = workspace.Name
	if workspace.Priority != nil {
		v.priority = *workspace.Priority
	}
	return true
}

// deny refuses what the configuration does not know. Where a newer one may be in force, only another entry can tell.
func (v *request) deny(status int, reason string) {
	if age, ok := v.process.age(); !ok {
		v.refuse(http.StatusServiceUnavailable, reason+" in a configuration that is old: "+age.String(), shortAdvice)
		return
	}
	v.refuse(status, reason, 0)
}

// age returns how long ago the configuration was known to be the newest, and whether that is recent enough for keys.
func (p *Process) age() (time.Duration, bool) {
	now, ok := p.Boot.Now()
	current := time.Duration(p.current.Load())
	if !ok || current < 0 {
		return 0, false
	}
	age := now - current
	return age, p.settings.Load().Revoke == 0 || age < p.settings.Load().Revoke-currencySlack
}

// left returns the time until the request's deadline.
func (v *request) left() time.Duration {
	return v.deadline.Sub(v.process.Now())
}

// refuse ends a request with an answer of the process's own; statuses 429 and 503 promise that it has not run.
func (v *request) refuse(status int, reason string, advice time.Duration) {
	h := v.writer.Header()
	if v.Call != nil {
		v.process.Codec.SetAttemptID(h, v.ID)
	}
	if advice > 0 {
		h.Set("Retry-After", strconv.FormatFloat(advice.Seconds(), 'f', 3, 64))
	}
	if v.caller.Context().Err() == nil {
		http.Error(v.writer, reason, status)
	}
	v.finish("status="+strconv.Itoa(status), reason)
}

// finish logs and counts the end of a request.
func (v *request) finish(outcome, reason string) {
	p := v.process
	took := p.Now().Sub(v.began)
	p.counts.requests.With("outcome", outcome).Add(1)
	p.counts.whole.Observe(took.Seconds())
	if v.Call == nil {
		p.Log.Info("request ended", "outcome", outcome, "reason", reason, "took", took)
		return
	}
	route := ""
	if v.route != nil {
		route = v.route.Name
	}
	age, _ := p.age()
	p.Log.Info("request ended", "id", v.ID, "route", route, "workspace", v.workspace, "outcome", outcome, "reason", reason,
		"took", took, "sends", v.sends, "runs", v.runs, "version", versionOf(v.configuration), "age", age)
}
