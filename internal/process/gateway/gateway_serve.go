package gateway

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/call"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/group"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/memory"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/caller"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// defaultBodyLimit is the largest body in bytes while no configuration sets a limit.
	defaultBodyLimit = 4 << 20
	// revokeMargin is subtracted from the time within which a removed key must stop working.
	revokeMargin = 400 * time.Millisecond
	// shortRetryAfter is the Retry-After if another entry can serve the request at once.
	shortRetryAfter = 200 * time.Millisecond
	// defaultTimeout is the time limit of a request if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
)

// request is a request in progress.
type request struct {
	process *Process
	*call.Call
	writer http.ResponseWriter
	caller *http.Request
	// configuration is used for the whole request, even if a newer one arrives meanwhile.
	configuration *site.Configuration
	route         *site.Route
	service       *site.Service
	workspace     string
	priority      int
	// fingerprint is the same for equal requests; each has an ID of its own.
	fingerprint uint64
	// parts are the fingerprints of Parts.
	parts []uint64
	// began is when the request arrived, and deadline when its answer must be complete.
	began, deadline time.Time
	// tried holds the IDs of the targets that the request was sent to.
	tried map[string]bool
	// fate is what the end of the latest attempt tells about its target, and rejection why the request was not sent again.
	fate      suspect.Fate
	rejection rejection
	// suspect is the fingerprint of the part of the prompt because of which the request was refused, or zero.
	suspect uint64
	// exclusive holds the fingerprints of which no other request may run at this entry.
	exclusive []uint64
	// trial is set if the request runs although it was convicted, or too many targets have ended while it ran.
	trial bool
	// groupRefused is set if the target of the latest attempt is one of a group and did not refuse for itself alone: all of the group
	// refuse then.
	groupRefused bool
	// faultyGroup is set if that target has named the one because of which its group runs no requests.
	faultyGroup bool
	// groupsDown is set if all groups of the service were down then.
	groupsDown bool
	// unreached is set if no connection was made in the latest attempt, and connected if the target answered.
	unreached, connected bool
	// runs counts the attempts that may have run the request.
	runs int
	// attempts counts all attempts, including those that did not run the request.
	attempts int
	// events counts the events of the latest attempt, and heardAt is when it began or the last event arrived.
	events  int
	heardAt time.Time
	// groupHash is that of the latest attempt's target, or zero if it is not known.
	groupHash uint32
	// statement is what the target of the latest attempt said about itself.
	statement call.Statement
	// framed is set if the end of the latest answer can be told from the loss of its connection.
	framed bool
	// succeeded is set if the answer of the latest attempt has a status of success.
	succeeded bool
	// seatUse is the request's seat.
	seatUse
	// sendBy is the time by which the current attempt must be sent because its permit lapses then, or zero.
	sendBy time.Time
	// unsent is set if nothing of the latest attempt reached its target because its permit had lapsed, so another one is no retry.
	unsent bool
	// held is the memory that the request holds, of which requestHeld bytes are for the request itself. memoryShort is set if there was
	// no room for it.
	held        *memory.Hold
	requestHeld int64
	memoryShort bool
	// planned is the latest plan for the request while all groups of its service were down, and waitedFor the time for which it waited.
	planned   group.Plan
	waitedFor time.Duration
	// headersSent is set once the headers of an answer were sent to the caller.
	headersSent bool
}

// serve handles a caller's request.
func (p *Process) serve(w http.ResponseWriter, r *http.Request) {
	began := p.Now()
	p.running.Add(1)
	defer p.running.Done()
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	limit := int64(defaultBodyLimit)
	if c := p.configuration.Load(); c != nil && c.Body > 0 {
		limit = c.Body
	}
	v := &request{process: p, writer: w, caller: r, began: began, tried: map[string]bool{}}
	if !caller.ShowsTruncation(r) {
		v.refuse(http.StatusHTTPVersionNotSupported, caller.ProtocolReason, 0)
		return
	}
	defer v.clearWriteLimit()
	defer v.releaseMemory()
	caller.LimitBody(w, r, limit, began)
	v.holdRequest(limit)
	c, err := p.Codec.DecodeCall(r, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case v.memoryShort:
		v.Call = c
		v.refuseMemory()
		return
	case errors.As(err, &tooLarge):
		v.refuse(http.StatusRequestEntityTooLarge, "body too long", 0)
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		v.refuse(http.StatusRequestTimeout, "body not sent in time", 0)
		return
	case err != nil && r.Context().Err() != nil:
		v.abandon("abandoned", "caller left before its request was read")
	case err != nil:
		v.refuse(http.StatusBadRequest, err.Error(), 0)
		return
	}
	v.Call = c
	if v.resolve() {
		v.dispatch()
	}
}

// resolve finds the request's route, workspace, priority and deadline. It reports whether the request may run; if not, it
// has been refused.
func (v *request) resolve() bool {
	p := v.process
	c := p.configuration.Load()
	if c == nil {
		v.refuse(http.StatusServiceUnavailable, "no configuration yet", shortRetryAfter)
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
	v.fingerprint = suspect.Fingerprint(v.Body, v.workspace, v.Host, v.Path, v.Query)
	for _, id := range v.Parts {
		v.parts = append(v.parts, suspect.PartFingerprint(id))
	}
	limit := v.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if v.Timeout > 0 {
		limit = min(limit, v.Timeout)
	}
	v.deadline = v.began.Add(limit)
	if p.rejecting.Load() {
		v.refuse(http.StatusServiceUnavailable, "stopping", shortRetryAfter)
		return false
	}
	return true
}

// authorize finds the workspace and priority of the caller's key. It reports whether the key is valid; if not, the
// request has been refused.
func (v *request) authorize(c *site.Configuration) bool {
	workspace, ok := c.Workspaces[v.Key]
	if !ok {
		v.deny(http.StatusUnauthorized, "unknown key")
		return false
	}
	if age, ok := v.process.configurationAge(); !ok {
		v.refuse(http.StatusServiceUnavailable, "configuration too old for keys: "+age.String(), shortRetryAfter)
		return false
	}
	v.workspace = workspace.Name
	if workspace.Priority != nil {
		v.priority = *workspace.Priority
	}
	return true
}

// deny refuses a request with an unknown route or key. If the configuration may be stale, the request gets 503 instead,
// because another entry may have a newer configuration.
func (v *request) deny(status int, reason string) {
	if age, ok := v.process.configurationAge(); !ok {
		v.refuse(http.StatusServiceUnavailable, reason+" in a configuration that is old: "+age.String(), shortRetryAfter)
		return
	}
	v.refuse(status, reason, 0)
}

// configurationAge returns the time since the configuration was last known to be the latest, and whether it is recent
// enough to check keys.
func (p *Process) configurationAge() (time.Duration, bool) {
	now, ok := p.Boot.Now()
	current := time.Duration(p.confirmedAt.Load())
	if !ok || current < 0 {
		return 0, false
	}
	age := now - current
	return age, p.settings.Load().Revoke == 0 || age < p.settings.Load().Revoke-revokeMargin
}

// limitWrite aborts the connection if the caller reads nothing of the next part of its answer in time.
func (v *request) limitWrite() {
	v.setWriteDeadline(v.process.Now().Add(caller.WriteTimeout))
}

// clearWriteLimit undoes limitWrite for the next request on the connection.
func (v *request) clearWriteLimit() {
	v.setWriteDeadline(time.Time{})
}

func (v *request) setWriteDeadline(at time.Time) {
	if err := http.NewResponseController(v.writer).SetWriteDeadline(at); err != nil {
		v.process.Log.Debug("write deadline not set", "error", err)
	}
}

// remaining returns the time left for the request.
func (v *request) remaining() time.Duration {
	return v.ends().Sub(v.process.Now())
}

// refuse ends a request with an answer of the entry itself. Statuses 429 and 503 tell the caller that it has not run.
func (v *request) refuse(status int, reason string, retryAfter time.Duration) {
	h := v.writer.Header()
	if v.Call != nil {
		v.process.Codec.SetAttemptID(h, v.ID)
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(v.writer, reason, status)
	v.finish("status="+strconv.Itoa(status), reason)
}

// abandon ends a request whose caller left, by aborting its connection. A caller that closed only its sending side would take
// a return without an answer for an empty success.
func (v *request) abandon(outcome, reason string) {
	v.finish(outcome, reason)
	panic(http.ErrAbortHandler)
}

// formatFingerprint returns a fingerprint as logs have it.
func formatFingerprint(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// finish logs and counts the end of a request.
func (v *request) finish(outcome, reason string) {
	p := v.process
	took := p.Now().Sub(v.began)
	p.metrics.requests.With("outcome", outcome).Add(1)
	p.metrics.duration.Observe(took.Seconds())
	if v.Call == nil {
		p.Log.Info("request ended", "outcome", outcome, "reason", reason, "took", took)
		return
	}
	route := ""
	if v.route != nil {
		route = v.route.Name
	}
	age, _ := p.configurationAge()
	p.Log.Info("request ended", "id", v.ID, "fingerprint", formatFingerprint(v.fingerprint), "route", route, "workspace", v.workspace, "outcome", outcome, "reason", reason,
		"took", took, "sends", v.attempts, "runs", v.runs, "version", versionOf(v.configuration), "age", age, "suspect", formatSuspect(v.suspect))
}

// formatSuspect is formatFingerprint for one that is zero if there is none.
func formatSuspect(fingerprint uint64) string {
	if fingerprint == 0 {
		return ""
	}
	return formatFingerprint(fingerprint)
}
