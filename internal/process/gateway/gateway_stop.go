package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
)

const (
	// rotationTime is how long the balancer may still send new connections after the process says that it is not ready:
	// two checks, one a second, and some time on the way.
	rotationTime = 2500 * time.Millisecond
	// stopShare is the part of the grace period that a stop takes at most.
	stopShare = 0.94
)

// ready tells the balancer whether the process wants new connections.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.stopping.Load() || p.configuration.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// await waits for the signal to stop, lets the requests in progress end and stops the process.
func (p *Process) await(signal, work context.Context, callers *http.Server, cancel context.CancelFunc) error {
	defer cancel()
	select {
	case <-work.Done():
		return nil
	case <-signal.Done():
	}
	began := p.Now()
	p.stopping.Store(true)
	p.Log.Info("stop", "step", "not ready", "grace", p.settings.Load().Grace)
	node.Pause(work, rotationTime)
	p.closed.Store(true)
	p.Log.Info("stop", "step", "closing connections")
	left := time.Duration(stopShare*float64(p.settings.Load().Grace)) - p.Now().Sub(began)
	ctx, done := context.WithTimeout(work, left)
	defer done()
	err := callers.Shutdown(ctx)
	p.Log.Info("stop", "step", "end", "took", p.Now().Sub(began), "error", err)
	return nil
}
