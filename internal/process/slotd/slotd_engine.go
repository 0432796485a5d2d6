package slotd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	maxEngineConns    = 64
	engineIdleTimeout = 2 * time.Second
	// pollInterval is the interval at which the engine's load report is read.
	pollInterval = 250 * time.Millisecond
	// pollTimeout bounds one read of the load report.
	pollTimeout = time.Second
	// nonIdempotentGrace is how long a non-idempotent call may run beyond its deadline.
	nonIdempotentGrace = 10 * time.Second
	maxReportSize      = 32 << 10
	readBufferSize     = 8 << 10
	// engineReadTimeout is the longest time without a byte in the middle of an answer before the connection counts as lost.
	engineReadTimeout = 3 * time.Second
)

// errEngineTimeout reports that an engine stopped sending in the middle of an answer.
var errEngineTimeout = merry.Sentinel("the engine went silent in the middle of the answer")

// pollLoad reads the engine's load report once.
func (p *Process) pollLoad(ctx context.Context) {
	report := p.readLoad(ctx)
	if !report.Alive {
		// The idle connection may be lost while new ones work.
		p.engineClient.CloseIdleConnections()
		report = p.readLoad(ctx)
	}
	if ctx.Err() == nil {
		p.handle(slot.Event{Report: report})
	}
}

// loadReport is the engine's JSON load report.
type loadReport struct {
	// Running is the number of requests in the engine.
	Running int `json:"running"`
	// Prefixes holds digests of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
	// Limit is the number of requests a second that the engine takes, or nil if it names none.
	Limit *float64 `json:"limit"`
}

// readLoad reads the engine's load report once. Without a valid report, Alive is false.
func (p *Process) readLoad(ctx context.Context) *slot.Report {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.engineURL("/load"), nil)
	if err != nil {
		return &slot.Report{}
	}
	response, err := p.engineClient.Do(request)
	if err != nil {
		return &slot.Report{}
	}
	defer response.Body.Close()
	var l loadReport
	if err := transport.DecodeJSON(response, maxReportSize, &l); err != nil {
		return &slot.Report{}
	}
	r := &slot.Report{Alive: true, Running: l.Running, Prefixes: l.Prefixes}
	switch {
	case l.Limit == nil:
	case *l.Limit < 0:
		p.Log.Warn("statement ignored", "error", fmt.Sprintf("load report: limit %v is negative", *l.Limit))
	default:
		r.Limit, r.Limited = *l.Limit, true
	}
	return r
}

func (p *Process) engineURL(path string) string {
	return fmt.Sprintf("http://%s%s", p.Settings.Engine, path)
}

// run sends a request to the engine and passes its answer to the core.
func (p *Process) run(ctx context.Context, r *slot.Run) {
	began := p.logRunStart(r)
	result := p.callEngine(ctx, r)
	p.recordRunEnd(r, result, began)
	if result.Outcome == call.OutcomeFailed && ctx.Err() == nil {
		result.Crashed = !p.readLoad(p.ctx).Alive
	}
	p.mu.Lock()
	cancel := p.runs[r.ID]
	delete(p.runs, r.ID)
	p.mu.Unlock()
	cancel()
	p.handle(slot.Event{Result: result})
}

// callEngine makes one call to the engine. It passes the answer to the core as it arrives and returns the result.
func (p *Process) callEngine(ctx context.Context, r *slot.Run) *slot.Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	ctx, cancel := context.WithDeadline(ctx, runDeadline(r))
	defer cancel()
	request, err := p.newEngineRequest(ctx, r)
	if err != nil {
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeNotRun, Reason: err.Error()}
	}
	if !r.CanStart(p.Now()) {
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeNotRun, Reason: "the deadline passed"}
	}
	response, err := p.runClient.Do(request)
	if err != nil {
		return &slot.Result{ID: r.ID, Outcome: outcomeWithoutAnswer(connected.Load()), Reason: err.Error()}
	}
	defer response.Body.Close()
	result := p.copyAnswer(r, response, cancelCause)
	if cause := context.Cause(ctx); errors.Is(cause, errEngineTimeout) {
		result.Reason = cause.Error()
	}
	return result
}

// runDeadline returns the time at which a run is canceled. The answer to a non-idempotent call is read beyond the
// caller's deadline, because the caller will ask for it again.
func runDeadline(r *slot.Run) time.Time {
	if r.Request.Key != "" {
		return r.Deadline.Add(nonIdempotentGrace)
	}
	return r.Deadline
}

// opaqueReader hides the type of a reader, so that the HTTP client cannot rewind the body and send it again.
type opaqueReader struct {
	io.Reader
}

// newEngineRequest returns the HTTP request of a run.
func (p *Process) newEngineRequest(ctx context.Context, r *slot.Run) (request *http.Request, err error) {
	request, err = http.NewRequestWithContext(ctx, http.MethodPost, p.engineURL(r.Request.Path), opaqueReader{bytes.NewReader(r.Request.Body)})
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(r.Request.Body))
	request.Header.Set("Request-Id", r.Request.ID)
	request.Header.Set("Request-Timeout", r.Deadline.Sub(p.Now()).String())
	request.Header.Set("Workspace", r.Request.Workspace)
	if r.Request.Key != "" {
		request.Header.Set("Idempotency-Key", r.Request.Key)
	}
	return request, nil
}

// newClient returns an HTTP client of the engine that follows no redirects.
func newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: transport.New(&http.Transport{
			MaxIdleConnsPerHost: maxEngineConns, IdleConnTimeout: engineIdleTimeout,
			DisableKeepAlives: !keepAlive, DisableCompression: true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// outcomeWithoutAnswer returns the outcome of a call without an answer. It has not run if it never had a connection.
func outcomeWithoutAnswer(connected bool) call.Outcome {
	if connected {
		return call.OutcomeFailed
	}
	return call.OutcomeNotRun
}

// newReadTimer returns a stopped timer that cancels a call whose engine stops sending. It is started at the first byte,
// because the time to it depends on the engine's work. Non-idempotent calls may take until their deadline.
func newReadTimer(r *slot.Run, cancelCause context.CancelCauseFunc) *time.Timer {
	timer := time.AfterFunc(engineReadTimeout, func() {
		if r.Request.Key == "" {
			cancelCause(errEngineTimeout)
		}
	})
	timer.Stop()
	return timer
}

// copyAnswer passes the answer to the core as it arrives. It cancels the call if the engine stops sending in the middle.
func (p *Process) copyAnswer(r *slot.Run, response *http.Response, cancelCause context.CancelCauseFunc) *slot.Result {
	media := response.Header.Get("Content-Type")
	wait, leaving := p.readWish(r, response)
	if refusedByEngine(response) {
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeNotRun, Reason: "the engine turned the request away", Wait: wait, Leaving: leaving}
	}
	if answer.Dispose(response.StatusCode) == answer.Withhold {
		reason := "the engine failed without a promise: status " + strconv.Itoa(response.StatusCode)
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeFailed, Leaving: leaving, Reason: reason}
	}
	// The core copies what it keeps, so the read buffer can be reused.
	data := make([]byte, readBufferSize)
	timer := newReadTimer(r, cancelCause)
	defer timer.Stop()
	end := newAnswerEnd(response)
	for {
		n, err := response.Body.Read(data)
		end.add(data[:n])
		timer.Reset(engineReadTimeout)
		if n > 0 {
			p.handle(slot.Event{Output: &slot.Output{ID: r.ID, Data: data[:n], Status: response.StatusCode, Media: media, Leaving: leaving}})
		}
		if errors.Is(err, io.EOF) {
			if err = end.check(); err == nil {
				return &slot.Result{ID: r.ID, Outcome: call.OutcomeComplete, Status: response.StatusCode, Media: media, Leaving: leaving}
			}
		}
		if err != nil {
			return &slot.Result{ID: r.ID, Outcome: call.OutcomeFailed, Status: response.StatusCode, Media: media, Leaving: leaving, Reason: err.Error()}
		}
	}
}
