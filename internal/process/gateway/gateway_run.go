package gateway

import (
	"cmp"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// newsAge is the usual age of the loads that relays pass on.
	newsAge = 100 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including those that targets refused without running it.
	maxAttempts = 3
)

// dispatch chooses a service for the request and serves it. The request needs a seat first.
func (v *request) dispatch() {
	p := v.process
	name := v.pickService()
	v.service = v.configuration.Service(name)
	p.mu.Lock()
	p.budget(p.Now(), name).CountRequest(p.Now())
	countArrival(p.arrivals, name, p.Now())
	if v.elapsed() == 0 {
		countArrival(p.firstTries, name, p.Now())
	}
	available := p.registry.Available(name)
	now := p.Now()
	_, _, v.rejection = v.judge(now)
	if available == 0 {
		v.rejection = cmp.Or(v.rejectEvacuated(name), rejection{http.StatusServiceUnavailable, "no target of " + name, shortRetryAfter})
	}
	p.mu.Unlock()
	if r := v.rejection; r.status != 0 {
		v.refuse(r.status, r.reason, r.retryAfter)
		return
	}
	defer v.endExclusive()
	for v.awaitGroups() && v.acquireSeat() && v.serveSeated() {
		// All groups went down before the request ran.
	}
}

// serveSeated serves the request with its seat, and reports whether it is to wait for the groups of its service and for another seat.
func (v *request) serveSeated() (again bool) {
	defer v.releaseSeat()
	return v.serveAttempts()
}

// pickService chooses one of the route's services at random, by weight.
func (v *request) pickService() string {
	services := v.route.Services
	if len(services) == 0 {
		return ""
	}
	sum := 0.0
	for _, s := range services {
		sum += s.Weight
	}
	v.process.mu.Lock()
	pick := v.process.Random.Float64() * sum
	v.process.mu.Unlock()
	for _, s := range services {
		if pick -= s.Weight; pick < 0 {
			return s.Service
		}
	}
	return services[len(services)-1].Service
}

// countArrival counts a request of a service.
func countArrival(arrivals map[string]*target.Arrivals, service string, now time.Time) {
	a := arrivals[service]
	if a == nil {
		a = &target.Arrivals{}
		arrivals[service] = a
	}
	a.Count(now)
}

// estimator returns the seat estimator of a service; mu is held.
func (p *Process) estimator(service string) *seat.Estimator {
	e := p.estimators[service]
	if e == nil {
		e = &seat.Estimator{}
		p.estimators[service] = e
	}
	return e
}

// chooseTarget picks the next target and counts the request as in progress there. It returns nil if there is no target, or if
// the request is rejected because it may end its target or because the targets take no more.
func (v *request) chooseTarget() *target.Member {
	p := v.process
	if v.reserved {
		v.reserved = false
		p.mu.Lock()
		p.reservedSeats[v.service.Name]--
		p.mu.Unlock()
	}
	waiting, learnBy := 1, p.Now().Add(learnTime)
	for asks := 0; ; asks++ {
		v.awaitTargets(learnBy)
		m, missing := v.pickTarget(asks < maxAsks)
		if m == nil && v.awaitTargets(learnBy) {
			continue
		}
		if m == nil || !missing {
			return m
		}
		waiting = p.awaitPermit(v.caller.Context(), m, v.priority, waiting)
		p.awaitCatchUp(v.caller.Context())
	}
}

// pickTarget picks a target for the request. If the target has a limit and no permit is left, missing is set and the request
// does not count as in progress there yet; this happens only if the request may ask for a permit.
func (v *request) pickTarget(mayAsk bool) (m *target.Member, missing bool) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	verdict, by, r := v.judge(now)
	if v.rejection = r; r.status != 0 {
		return nil, false
	}
	choice := target.Choice{Service: v.service.Name, Centre: p.settings.Load().Centre, Tried: v.tried, Priority: v.priority, MayAsk: mayAsk, Unknown: p.unknownRequests(now, v.service.Name), Stalled: p.unusableGroups()}
	if verdict == suspect.Suspected {
		v.beginExclusive(by)
		m = p.registry.ChooseFixed(now, choice, by[0], func(hash uint32) bool { return p.suspects.HasLost(now, by[0], hash) })
	} else {
		m = p.registry.Choose(now, choice, p.Random.Float64())
	}
	if m == nil && v.runs == 0 {
		v.rejection = cmp.Or(v.rejectEvacuated(choice.Service), v.rejectLimited(now, choice), v.rejectResting(now, choice))
	}
	if m == nil {
		return nil, false
	}
	if m.Limited(now) && !m.TakePermit(now) {
		return m, true
	}
	if v.trial {
		p.Log.Info("trial", "id", v.ID, "fingerprint", formatFingerprint(by[0]), "target", m.ID)
	}
	v.sendBy = sendBy(now, m)
	m.Own++
	p.registry.NoteAttempt(now, m)
	v.tried[m.ID] = true
	p.loadChanged(now)
	return m, false
}

// unknownRequests returns the number of requests of a service that the other entries have probably sent since they reported and
// that still run. Of short requests few run at any time, however many are sent; mu is held.
func (p *Process) unknownRequests(now time.Time, service string) float64 {
	a := p.arrivals[service]
	if a == nil {
		return 0
	}
	sent := a.Rate(now) * float64(p.entries-1) * newsAge.Seconds()
	return min(sent, float64(p.registry.Running(service)-p.registry.Own(service)))
}

// releaseTarget ends the count of the request at a target, records its result, and admits waiting requests. It returns the
// number of requests in progress there.
func (v *request) releaseTarget(m *target.Member, result outcome) (running int) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	m.Own--
	p.loadChanged(now)
	v.recordReach(now, m)
	if v.statement.Wait == 0 {
		// A target that asks for rest has named the time in which it is not used.
		m.RecordResult(now, result != outcomeServed && result != outcomeCallerLeft)
	}
	p.noteLost(now, m, v.fate)
	v.recordRun(now, m, result)
	if queue := p.queues[v.service.Name]; queue != nil && queue.Waiting() > 0 {
		p.admitWaiting(v.service.Name, queue)
	}
	return m.Running()
}

// recordReach records whether a connection to the target of the latest attempt was made; mu is held.
func (v *request) recordReach(now time.Time, m *target.Member) {
	p := v.process
	switch {
	case v.unreached && p.registry.MarkUnreachable(now, m):
		p.Log.Warn("centre unreachable", "centre", m.Centre, "target", m.ID, "id", v.ID)
	case v.connected && p.registry.MarkReached(m):
		p.Log.Info("centre reachable", "centre", m.Centre, "target", m.ID, "id", v.ID)
	}
}
