package slotd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

const (
	maxEngineConns = 64
	engineIdle     = 2 * time.Second
	// pollInterval is the time between two reads of the engine's load report.
	pollInterval = 250 * time.Millisecond
	// pollTimeout bounds one read of the load report.
	pollTimeout = time.Second
	// onceGrace is how long the answer to a non-idempotent call is waited for after its deadline.
	onceGrace  = 10 * time.Second
	reportSize = 32 << 10
	readSize   = 8 << 10
	// engineSilence is the time without a byte in the middle of an answer after which the connection counts as silent.
	engineSilence = 3 * time.Second
)

// errEngineSilent reports an engine that stopped in the middle of an answer.
var errEngineSilent = merry.Sentinel("the engine went silent in the middle of the answer")

// poll reads the engine's load report once.
func (p *Process) poll(ctx context.Context) {
	report := p.read(ctx)
	if !report.Alive {
		// The connection may have gone silent while new ones work.
		p.client.CloseIdleConnections()
		report = p.read(ctx)
	}
	if ctx.Err() == nil {
		p.handle(slot.Event{Report: report})
	}
}

// load is the engine's load report.
type load struct {
	// Running is the number of requests in the engine.
	Running int `json:"running"`
	// Prefixes are digests of cached prompt prefixes.
	Prefixes []uint64 `json:"prefixes"`
}

// read asks the engine once for its load report.
func (p *Process) read(ctx context.Context) *slot.Report {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url("/load"), nil)
	if err != nil {
		return &slot.Report{}
	}
	response, err := p.client.Do(request)
	if err != nil {
		return &slot.Report{}
	}
	defer response.Body.Close()
	var l load
	if err := json.NewDecoder(io.LimitReader(response.Body, reportSize)).Decode(&l); err != nil {
		return &slot.Report{}
	}
	return &slot.Report{Alive: true, Running: l.Running, Prefixes: l.Prefixes}
}

func (p *Process) url(path string) string {
	return fmt.Sprintf("http://%s%s", p.Settings.Engine, path)
}

// run calls the engine and passes its answer to the core.
func (p *Process) run(ctx context.Context, r *slot.Run) {
	began := p.started(r)
	result := p.call(ctx, r)
	p.ran(r, result, began)
	if result.Outcome == call.OutcomeFailed && ctx.Err() == nil {
		result.Crashed = !p.read(p.ctx).Alive
	}
	p.mu.Lock()
	cancel := p.runs[r.ID]
	delete(p.runs, r.ID)
	p.mu.Unlock()
	cancel()
	p.handle(slot.Event{Result: result})
}

// call makes one call to the engine.
func (p *Process) call(ctx context.Context, r *slot.Run) *slot.Result {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	ctx, cancel := context.WithDeadline(ctx, limitOf(r))
	defer cancel()
	request, err := p.request(ctx, r)
	if err != nil {
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeNotRun, Reason: err.Error()}
	}
	if !r.CanStart(p.Now()) {
		return &slot.Result{ID: r.ID, Outcome: call.OutcomeNotRun, Reason: "the deadline passed"}
	}
	response, err := p.fresh.Do(request)
	if err != nil {
		return &slot.Result{ID: r.ID, Outcome: outcomeOf(connected.Load()), Reason: err.Error()}
	}
	defer response.Body.Close()
	result := p.copy(r, response, giveUp)
	if cause := context.Cause(ctx); errors.Is(cause, errEngineSilent) {
		result.Reason = cause.Error()
	}
	return result
}

// limitOf returns the time at which a run is given up. The answer to a non-idempotent call
// is read beyond its caller's deadline, because the caller will ask for it again.
func limitOf(r *slot.Run) time.Time {
	if r.Request.Key != "" {
		return r.Deadline.Add(onceGrace)
	}
	return r.Deadline
}

// body hides the type of a reader, so that no part of the HTTP client can rewind and repeat it.
type body struct {
	io.Reader
}

// request returns the HTTP request of a run.
func (p *Process) request(ctx context.Context, r *slot.Run) (request *http.Request, err error) {
	request, err = http.NewRequestWithContext(ctx, http.MethodPost, p.url(r.Request.Path), body{bytes.NewReader(r.Request.Body)})
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

// newClient returns a client of the engine that follows no redirect.
func newClient(keep bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxEngineConns, IdleConnTimeout: engineIdle,
			DisableKeepAlives: !keep, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// outcomeOf tells whether a failed call can have run: not if it never had a connection.
func outcomeOf(connected bool) call.Outcome {
	if connected {
		return call.OutcomeFailed
	}
	return call.OutcomeNotRun
}

// framed reports whether the end of an answer can be told from a broken connection.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// newSilence returns a timer that gives up on a silent connection. It starts to run at the first byte, because the
// time to it depends on the engine's work; non-idempotent calls have until their deadline.
func newSilence(r *slot.Run, giveUp context.CancelCauseFunc) *time.Timer {
	silence := time.AfterFunc(engineSilence, func() {
		if r.Request.Key == "" {
			giveUp(errEngineSilent)
		}
	})
	silence.Stop()
	return silence
}

// copy passes the answer's bytes to the core as they come; an engine that goes silent between them is given up.
func (p *Process) copy(r *slot.Run, response *http.Response, giveUp context.CancelCauseFunc) *slot.Result {
	media := response.Header.Get("Content-Type")
	if !framed(response) {
		return &slot.Result{
			ID: r.ID, Outcome: call.OutcomeFailed, Status: http.StatusBadGateway,
			Reason: "the target does not mark the end of its answers",
		}
	}
	// The core copies what it keeps, so that one read buffer serves the whole answer.
	data := make([]byte, readSize)
	silence := newSilence(r, giveUp)
	defer silence.Stop()
	for {
		n, err := response.Body.Read(data)
		silence.Reset(engineSilence)
		if n > 0 {
			p.handle(slot.Event{Output: &slot.Output{ID: r.ID, Data: data[:n], Status: response.StatusCode, Media: media}})
		}
		if errors.Is(err, io.EOF) {
			return &slot.Result{ID: r.ID, Outcome: call.OutcomeComplete, Status: response.StatusCode, Media: media}
		}
		if err != nil {
			return &slot.Result{ID: r.ID, Outcome: call.OutcomeFailed, Status: response.StatusCode, Media: media, Reason: err.Error()}
		}
	}
}
