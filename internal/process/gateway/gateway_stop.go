package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// balancerGrace is how long the balancer may still send new connections after the process reports that it is not
	// ready: two checks at one per second, plus network delay.
	balancerGrace = 2500 * time.Millisecond
	// balancerFraction is the largest part of the grace period for that.
	balancerFraction = 0.35
	// defaultGrace is the grace period if the settings have none.
	defaultGrace = 8 * time.Second
	// stopFraction is the part of the grace period that a stop may take.
	stopFraction = 0.94
	// closeTime is the part of a stop in which the last answers are written.
	closeTime = 300 * time.Millisecond
	// exitTime is the part of the grace period for the end of the process itself.
	exitTime = 100 * time.Millisecond
	// endMargin is the time for an attempt during a stop as a multiple of the usual time. A caller that is refused is served at once by
	// another entry.
	endMargin = 1.25
)

// errStopping cancels an attempt at the end of a stop.
var errStopping = errors.New("the entry stops")

// ending is the end of a stop.
type ending struct {
	// answerBy is when all requests must be answered; nil unless the process stops.
	answerBy atomic.Pointer[time.Time]
	// running are the requests whose end is not logged yet.
	running sync.WaitGroup
	// ended is done at that time.
	ended context.Context
	end   context.CancelFunc
}

// ends returns the time by which the request must be answered.
func (v *request) ends() time.Time {
	if by := v.process.answerBy.Load(); by != nil && by.Before(v.deadline) {
		return *by
	}
	return v.deadline
}

// canEnd reports whether an attempt that begins now usually ends before the process does.
func (v *request) canEnd() bool {
	p := v.process
	by := p.answerBy.Load()
	if by == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, held := p.queue(v.service.Name).Usual()
	return !p.Now().Add(time.Duration(endMargin * float64(held))).After(*by)
}

// limitRequests lets no request go on after a time.
func (p *Process) limitRequests(by time.Time) {
	p.answerBy.Store(&by)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, queue := range p.queues {
		queue.EndBy(by)
	}
}

// ready answers the balancer's readiness check.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || p.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitStop waits for the signal to stop, lets the requests in progress finish and stops the process.
func (p *Process) awaitStop(signal, work context.Context, callers *http.Server, cancel context.CancelFunc) error {
	defer cancel()
	select {
	case <-work.Done():
		return nil
	case <-signal.Done():
	}
	began, grace := p.Now(), cmp.Or(p.settings.Load().Grace, defaultGrace)
	p.stopping.Store(true)
	p.Log.Info("stop", "step", "not ready", "grace", grace)
	stopTime := time.Duration(stopFraction * float64(grace))
	p.limitRequests(began.Add(stopTime - closeTime))
	node.Pause(work, min(balancerGrace, time.Duration(balancerFraction*float64(grace))))
	p.rejecting.Store(true)
	p.Log.Info("stop", "step", "closing connections")
	defer time.AfterFunc(stopTime-closeTime-p.Now().Sub(began), p.end).Stop()
	ctx, done := context.WithTimeout(work, stopTime-p.Now().Sub(began))
	defer done()
	err := callers.Shutdown(ctx)
	if err != nil {
		// Requests whose callers read nothing end with their connections.
		_ = callers.Close()
		p.awaitLogged(work, grace-p.Now().Sub(began)-exitTime)
	}
	p.Log.Info("stop", "step", "end", "took", p.Now().Sub(began), "error", err)
	return nil
}

// awaitLogged waits until the ends of all requests are logged, at most for a time.
func (p *Process) awaitLogged(ctx context.Context, most time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	go func() {
		p.running.Wait()
		cancel()
	}()
	<-ctx.Done()
}
