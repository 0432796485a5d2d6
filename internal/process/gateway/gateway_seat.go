package gateway

import (
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/edge/seat"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

const (
	// promptWeight is the time for a token of the prompt in times of a token of the answer: all tokens of a prompt are read at once.
	promptWeight = 0.02
	// maxFirstShare is the fraction of the goal that the usual time to the first event may take of the time for waiting. While answers
	// are late without any wait, refusing callers would not make the others' answers on time.
	maxFirstShare = 0.5
)

// minElapsedShare is the part of a route's timeout from which the difference to a caller's shows that time has passed for it. Callers'
// own limits vary by up to 15 in 100.
const minElapsedShare = 0.2

// seatUse is a request's seat.
type seatUse struct {
	// waiter is nil if the request has no seat.
	waiter *seat.Waiter
	// reserved is set until the request has a target.
	reserved bool
	// seatedAt is when the request got its seat, and firstAt when the first event of its answer arrived.
	seatedAt, firstAt time.Time
}

// occupancy returns the number of requests in progress at a service and its number of seats. A plain service has those that its
// targets run at once, and one more for each target, which queues it until an answer of this moment is known here; mu is held.
func (p *Process) occupancy(s *site.Service, gap time.Duration) (running, seats int) {
	o := p.registry.Occupancy(s.Name, p.unusableGroups())
	running = o.Running + p.reservedSeats[s.Name]
	if !s.Grouped() {
		return running, o.Width + o.Ranks
	}
	now := p.Now()
	seats = min(p.estimator(s.Name).Seats(now, s, gap, o.Ranks), o.Width)
	return running, p.registry.LimitSeats(now, s.Name, seats, o.Ranks)
}

// queue returns the queue of a service, told of this entry's part in it; mu is held.
func (p *Process) queue(service string) *seat.Queue {
	q := p.queues[service]
	if q == nil {
		q = &seat.Queue{}
		p.queues[service] = q
	}
	const mantissa = 53
	phase := float64(p.incarnation>>(64-mantissa)) / (1 << mantissa)
	own := p.registry.Occupancy(service, p.unusableGroups()).Own
	q.SetPart(own+p.reservedSeats[service], p.entries, newsAge, phase)
	return q
}

// acquireSeat waits for a seat and reports whether the request got one. If not, the request has ended.
func (v *request) acquireSeat() bool {
	p := v.process
	p.mu.Lock()
	name := v.service.Name
	queue := p.queue(name)
	w := v.newWaiter(queue)
	running, seats := p.occupancy(v.service, v.route.Gap)
	decided, admitted := queue.Offer(w, running, seats)
	if decided && admitted {
		p.reservedSeats[name]++
	}
	p.mu.Unlock()
	event := "free"
	if !decided {
		event = "waited"
		select {
		case admitted = <-w.Done:
		case <-v.caller.Context().Done():
			v.cancelWait(queue, w)
			v.abandon("abandoned", "caller left while it waited for a seat")
		}
	}
	if !admitted {
		if !v.refuseEvacuated() {
			v.refuseSeat(queue, w)
		}
		return false
	}
	now := p.Now()
	v.waiter, v.seatedAt, v.reserved = w, now, true
	p.metrics.seatWait.Observe(max(now.Sub(w.Arrived), 0).Seconds())
	p.countSeat(event, w.Returned)
	return true
}

// newWaiter returns the request as one that asks for a seat; mu is held.
func (v *request) newWaiter(queue *seat.Queue) *seat.Waiter {
	now := v.process.Now()
	elapsed := v.elapsed()
	first, held := queue.Usual()
	w := &seat.Waiter{
		Priority: v.priority, Returned: elapsed > 0 && elapsed >= seat.ReturnTime(v.route.Timeout), Arrived: now, Goal: v.route.Goal, Gap: v.route.Gap,
		Until: v.ends().Add(-held), Ends: v.ends(), Workspace: v.workspace, Cost: v.seatCost(), Done: make(chan bool, 1),
	}
	if v.route.Goal > 0 {
		w.Late, w.Returned = elapsed+v.waitedFor > v.route.Goal, w.Returned || v.waitedFor > 0
		if !w.Late {
			first = min(first, time.Duration(maxFirstShare*float64(v.route.Goal)))
			w.Until = v.began.Add(v.route.Goal - elapsed - first)
		}
	} else {
		// Without a goal any answer within the time limit is on time.
		w.Goal = v.ends().Sub(v.began)
	}
	return w
}

// elapsed returns the time that had passed for the caller when the request arrived, or zero if it is not known. A caller that retries
// sends the time that it has left as its timeout, but callers also have time limits of their own near the route's.
func (v *request) elapsed() time.Duration {
	if v.Timeout <= 0 || v.route.Timeout <= 0 {
		return 0
	}
	elapsed := v.route.Timeout - v.Timeout
	if elapsed < time.Duration(minElapsedShare*float64(v.route.Timeout)) {
		return 0
	}
	return elapsed
}

// seatCost returns the time for which the request is expected to hold its seat in seconds, or zero if nothing is known of it; mu
// is held.
func (v *request) seatCost() float64 {
	output := v.Tokens.MaxOutput
	if hint := v.Tokens.Output; hint > 0 && (output == 0 || hint < output) {
		output = hint
	}
	pass := v.process.estimator(v.service.Name).MeanGap(v.process.Now())
	if pass == 0 {
		pass = v.route.Gap
	}
	if !v.service.Grouped() || output == 0 || pass <= 0 {
		return 0
	}
	tokens := float64(output) + promptWeight*float64(v.Tokens.Prompt)
	return min(tokens/float64(max(v.service.Stride, 1))*pass.Seconds(), max(v.remaining().Seconds(), 0))
}

// refuseSeat refuses a request that got no seat.
func (v *request) refuseSeat(queue *seat.Queue, w *seat.Waiter) {
	p := v.process
	name := v.service.Name
	p.mu.Lock()
	now := p.Now()
	running, seats := p.occupancy(v.service, v.route.Gap)
	retryAfter := queue.Promise(now, v.remaining(), running, seats, p.Random.Float64())
	gap := p.estimator(name).MeanGap(now)
	waiting := queue.Waiting()
	p.mu.Unlock()
	p.countSeat("refused", w.Returned)
	p.Log.Info("no seat", "id", v.ID, "service", name, "running", running, "seats", seats, "pause", gap, "late", w.Late,
		"workspace", v.workspace, "priority", v.priority, "returned", w.Returned, "above", w.Above, "waiting", waiting, "waited", now.Sub(w.Arrived), "retry", retryAfter)
	v.refuse(http.StatusServiceUnavailable, "no seat", retryAfter)
}

func (p *Process) countSeat(event string, returned bool) {
	caller := "new"
	if returned {
		caller = "returned"
	}
	p.metrics.seats.With("event", event, "caller", caller).Add(1)
}

// releaseSeat ends the request's seat.
func (v *request) releaseSeat() {
	p := v.process
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Now()
	queue := p.queue(v.service.Name)
	if v.runs == 0 {
		queue.Unused(now, v.waiter)
		return
	}
	queue.Ended(now, v.waiter, now.Sub(v.seatedAt))
	if v.firstAt.IsZero() {
		v.firstAt = now
	}
	queue.Answered(v.firstAt.Sub(v.seatedAt))
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
			queue.Unused(p.Now(), w)
		}
	default:
	}
}

// admitWaiting gives free seats of a service to waiting requests; mu is held.
func (p *Process) admitWaiting(service string, queue *seat.Queue) {
	s := p.configuration.Load().Service(service)
	p.queue(service)
	running, seats := p.occupancy(s, queue.Gap())
	p.reservedSeats[service] += queue.Dispatch(p.Now(), running, seats)
}
