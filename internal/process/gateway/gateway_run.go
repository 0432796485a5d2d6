package gateway

import (
	"cmp"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

const (
	// peerDiscoveryTime is the time after the start during which the number of entries is not known yet.
	peerDiscoveryTime = 5 * time.Second
	// newsAge is the usual age of the loads that relays pass on.
	newsAge = 100 * time.Millisecond
	// maxAttempts bounds the attempts of one request, including those that targets refused without running it.
	maxAttempts = 3
)

// dispatch chooses a service for the request and serves it. For a group of engines the request needs a seat first.
func (v *request) dispatch() {
	p := v.process
	name := v.pickService()
	v.service = v.configuration.Service(name)
	p.mu.Lock()
	p.budget(name).CountRequest(p.Now())
	p.countArrival(name)
	available := p.registry.Available(name)
	now := p.Now()
	verdict, by := p.suspects.Check(now, v.fingerprint, v.parts)
	v.rejection = v.checkSuspect(now, verdict, by)
	p.mu.Unlock()
	if available == 0 {
		v.refuse(http.StatusServiceUnavailable, "no target of "+name, shortRetryAfter)
		return
	}
	if r := v.rejection; r.status != 0 {
		v.refuse(r.status, r.reason, r.retryAfter)
		return
	}
	defer v.endExclusive()
	if !v.service.Grouped() {
		v.serveAttempts()
		return
	}
	if v.acquireSeat() {
		v.serveAttempts()
	}
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

// budget returns the retry budget of a service; mu is held.
func (p *Process) budget(service string) *budget.Budget {
	b := p.budgets[service]
	if b == nil {
		b = budget.New(p.settings.Load().Retries)
		p.budgets[service] = b
	}
	return b
}

// countArrival counts a request of a service; mu is held.
func (p *Process) countArrival(service string) {
	a := p.arrivals[service]
	if a == nil {
		a = &target.Arrivals{}
		p.arrivals[service] = a
	}
	a.Count(p.Now())
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

// occupancy returns the number of streams in progress at a service and its number of seats; mu is held.
func (p *Process) occupancy(s *site.Service, gap time.Duration) (running, seats int) {
	ranks := p.registry.Available(s.Name)
	running = p.registry.Running(s.Name) + p.reservedSeats[s.Name]
	seats = min(p.estimator(s.Name).Seats(p.Now(), s, gap, ranks), p.registry.Width(s.Name))
	return running, p.registry.LimitSeats(p.Now(), s.Name, seats, ranks)
}

// acquireSeat waits for a seat and reports whether the request got one. If not, the request has ended.
func (v *request) acquireSeat() bool {
	p := v.process
	w := &seat.Waiter{
		Priority: v.priority, Late: v.pastGoal(), Arrived: v.began, Goal: v.route.Goal, Gap: v.route.Gap, Done: make(chan bool, 1),
	}
	p.mu.Lock()
	name := v.service.Name
	queue := p.queues[name]
	if queue == nil {
		queue = &seat.Queue{}
		p.queues[name] = queue
	}
	running, seats := p.occupancy(v.service, v.route.Gap)
	decided, admitted := queue.Offer(w, running, seats)
	if decided && admitted {
		p.reservedSeats[name]++
	}
	gap := p.estimator(name).MeanGap(p.Now())
	retryAfter := seat.RetryAfter(p.Random)
	p.mu.Unlock()
	if !decided {
		select {
		case admitted = <-w.Done:
		case <-v.caller.Context().Done():
			v.cancelWait(queue, w)
			v.abandon("abandoned", "caller left while it waited for a seat")
		}
	}
	if !admitted {
		p.Log.Info("no seat", "id", v.ID, "service", name, "running", running, "seats", seats, "pause", gap, "late", w.Late)
		v.refuse(http.StatusServiceUnavailable, "no seat", retryAfter)
	}
	return admitted
}

// pastGoal reports whether the answer can no longer be on time. A caller that retries sends the time that it has left
// as its timeout, so the difference to the route's timeout has already passed; it may exceed the goal.
func (v *request) pastGoal() bool {
	return v.Timeout > 0 && v.route.Timeout-v.Timeout > v.route.Goal
}

// cancelWait removes a request whose caller left from the queue, or returns the seat that it was given meanwhile.
func (v *request) cancelWait(queue *seat.Queue, w *seat.Waiter) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	queue.Remove(w)
	select {
	case admitted := <-w.Done:
		if admitted {
			p.reservedSeats[v.service.Name]--
		}
	default:
	}
}

// admitWaiting gives free seats of a service to waiting requests; mu is held.
func (p *Process) admitWaiting(service string, queue *seat.Queue) {
	s := p.configuration.Load().Service(service)
	running, seats := p.occupancy(s, queue.Gap())
	p.reservedSeats[service] += queue.Dispatch(p.Now(), running, seats)
}

// chooseTarget picks the next target and counts the request as in progress there. It returns nil if there is no target, or if
// the request is rejected because it may end its target or because the targets take no more.
func (v *request) chooseTarget() *target.Member {
	p := v.process
	if v.attempts == 0 && v.service.Grouped() {
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
	}
}

// pickTarget picks a target for the request. If the target has a limit and no permit is left, missing is set and the request
// does not count as in progress there yet; this happens only if the request may ask for a permit.
func (v *request) pickTarget(mayAsk bool) (m *target.Member, missing bool) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	verdict, by := p.suspects.Check(now, v.fingerprint, v.parts)
	if v.rejection = v.checkSuspect(now, verdict, by); v.rejection.status != 0 {
		return nil, false
	}
	choice := target.Choice{Service: v.service.Name, Centre: p.settings.Load().Centre, Tried: v.tried, Priority: v.priority, MayAsk: mayAsk, Unknown: p.unknownRequests(now, v.service.Name)}
	if verdict == suspect.Suspected {
		v.beginExclusive(by)
		m = p.registry.ChooseFixed(now, choice, by[0], func(hash uint32) bool { return p.suspects.HasLost(now, by[0], hash) })
	} else {
		m = p.registry.Choose(now, choice, p.Random.Float64())
	}
	if m == nil && v.runs == 0 {
		v.rejection = cmp.Or(v.rejectLimited(now, choice), v.rejectResting(now, choice))
	}
	if m == nil {
		return nil, false
	}
	if m.Limited(now) && !m.TakePermit(now) {
		return m, true
	}
	v.sendBy = sendBy(now, m)
	m.Own++
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

// takeRetry takes a retry from the service's budget and reports whether one was left.
func (v *request) takeRetry() bool {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	entries := budget.Entries(p.entries, now.Sub(p.started), peerDiscoveryTime)
	return p.budget(v.service.Name).AllowRetry(now, entries)
}
