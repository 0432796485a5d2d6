package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// balancerGrace is how long the balancer may still send new connections after the process reports that it is not
	// ready: two checks at one per second, plus network delay.
	balancerGrace = 2500 * time.Millisecond
	// stopFraction is the part of the grace period that a stop may take.
	stopFraction = 0.94
)

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
	began := p.Now()
	p.stopping.Store(true)
	p.Log.Info("stop", "step", "not ready", "grace", p.settings.Load().Grace)
	node.Pause(work, balancerGrace)
	p.rejecting.Store(true)
	p.Log.Info("stop", "step", "closing connections")
	timeout := time.Duration(stopFraction*float64(p.settings.Load().Grace)) - p.Now().Sub(began)
	ctx, done := context.WithTimeout(work, timeout)
	defer done()
	err := callers.Shutdown(ctx)
	p.Log.Info("stop", "step", "end", "took", p.Now().Sub(began), "error", err)
	return nil
}
