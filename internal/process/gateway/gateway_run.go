package gateway

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/budget"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/edge/target"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// settling is the time after the start in which the number of entries is not known yet.
	settling = 5 * time.Second
	// mostSends bounds the sendings of one request, with those that targets refused.
	mostSends = 3
)

// run chooses the service of a request, and a seat where the service's engines are a group.
func (v *request) run() {
	p := v.process
	name := v.pickService()
	v.service = v.configuration.Service(name)
	p.mu.Lock()
	p.budget(name).CountRequest(p.Now())
	open := p.registry.Available(name)
	p.mu.Unlock()
	if open == 0 {
		v.refuse(http.StatusServiceUnavailable, "no target of "+name, shortAdvice)
		return
	}
	if !v.service.Grouped() {
		v.serveAttempts()
		return
	}
	if v.takeSeat() {
		v.serveAttempts()
	}
}

// pickService chooses among the services of the route by weight.
func (v *request) pickService() string {
	shares := v.route.Services
	if len(shares) == 0 {
		return ""
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	v.process.mu.Lock()
	at := v.process.Random.Float64() * sum
	v.process.mu.Unlock()
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// budget returns the budget of a service; mu is held.
func (p *Process) budget(service string) *budget.Budget {
	b := p.budgets[service]
	if b == nil {
		b = budget.New(p.settings.Load().Retries)
		p.budgets[service] = b
	}
	return b
}

// gauge returns the gauge of a service; mu is held.
func (p *Process) gauge(service string) *seat.Estimator {
	g := p.gauges[service]
	if g == nil {
		g = &seat.Estimator{}
		p.gauges[service] = g
	}
	return g
}

// occupancy returns the streams in progress at a service and the most that it should have; mu is held.
func (p *Process) occupancy(s *site.Service, gap time.Duration) (running, seats int) {
	ranks := p.registry.Available(s.Name)
	running = p.registry.Running(s.Name) + p.seated[s.Name]
	return running, p.gauge(s.Name).Seats(p.Now(), s, gap, ranks)
}

// takeSeat waits for a seat and reports whether the request got one.
func (v *request) takeSeat() bool {
	p := v.process
	w := &seat.Waiter{
		Priority: v.priority, Late: v.late(), Arrived: v.began, Goal: v.route.Goal, Gap: v.route.Gap, Done: make(chan bool, 1),
	}
	p.mu.Lock()
	name := v.service.Name
	line := p.lines[name]
	if line == nil {
		line = &seat.Queue{}
		p.lines[name] = line
	}
	running, seats := p.occupancy(v.service, v.route.Gap)
	decided, admitted := line.Offer(w, running, seats)
	if decided && admitted {
		p.seated[name]++
	}
	pause := p.gauge(name).Pause(p.Now())
	advice := seat.RetryAfter(p.Random)
	p.mu.Unlock()
	if !decided {
		select {
		case admitted = <-w.Done:
		case <-v.caller.Context().Done():
			v.leaveLine(line, w)
			v.finish("abandoned", "caller left while it waited for a seat")
			return false
		}
	}
	if !admitted {
		p.Log.Info("no seat", "id", v.ID, "service", name, "running", running, "seats", seats, "pause", pause, "late", w.Late)
		v.refuse(http.StatusServiceUnavailable, "no seat", advice)
	}
	return admitted
}

// late reports whether the caller's remaining time shows that the answer can no longer be on time.
func (v *request) late() bool {
	return v.Timeout > 0 && v.route.Timeout-v.Timeout > v.route.Goal
}

// leaveLine gives back the place, or the seat, of a caller that went away.
func (v *request) leaveLine(line *seat.Queue, w *seat.Waiter) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	line.Remove(w)
	select {
	case admitted := <-w.Done:
		if admitted {
			p.seated[v.service.Name]--
		}
	default:
	}
}

// moveLine gives free seats to waiting requests; mu is held.
func (p *Process) moveLine(service string, line *seat.Queue) {
	s := p.configuration.Load().Service(service)
	running, seats := p.occupancy(s, line.Gap())
	p.seated[service] += line.Dispatch(p.Now(), running, seats)
}

// choose picks the next target and counts the request there; it returns nil when there is none.
func (v *request) choose() *target.Member {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	name := v.service.Name
	m := p.registry.Choose(p.Now(), target.Choice{Service: name, Centre: p.settings.Load().Centre, Tried: v.tried}, p.Random.Float64())
	if m != nil {
		m.Own++
		v.tried[m.ID] = true
	}
	if v.sends == 0 && v.service.Grouped() {
		p.seated[name]--
	}
	return m
}

// release ends a request's count at a target.
func (v *request) release(m *target.Member, failed bool) {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	m.Own--
	m.RecordResult(p.Now(), failed)
	if line := p.lines[v.service.Name]; line != nil && line.Waiting() > 0 {
		p.moveLine(v.service.Name, line)
	}
}

// repeat reports whether the budget allows one more sending.
func (v *request) repeat() bool {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	entries := budget.Entries(1+len(p.mesh.Peers(false)), now.Sub(p.started), settling)
	return p.budget(v.service.Name).AllowRetry(now, entries)
}
