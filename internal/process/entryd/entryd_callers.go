package entryd

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"github.com/dragonflydeal/dragonflydeal/internal/core/entry"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

// Headers of the callers' interface.
const (
	headerWorkspace = "Workspace"
	headerKey       = "Idempotency-Key"
	headerResume    = "Last-Event-ID"
	headerTimeout   = "Request-Timeout"
)

const idSize = 16

// inputError is a fault of the caller's request.
type inputError struct {
	status int
	reason string
	// repeated is set when an earlier copy of the request may have run.
	repeated bool
}

// Error implements the error interface.
func (e *inputError) Error() string {
	return e.reason
}

// callers returns the handler of the callers' address.
func (p *Process) callers() http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return p.submit(ctx, request.(*entry.Arrival)), nil
	}
	server := httptransport.NewServer(serve, p.decode, p.encode, httptransport.ServerErrorEncoder(p.encodeError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limitBody(w, r, p.Settings.Body, p.Now())
		server.ServeHTTP(w, r)
	})
}

// decode reads a caller's request.
func (p *Process) decode(ctx context.Context, r *http.Request) (any, error) {
	a, err := p.arrival(ctx, r)
	var input *inputError
	if errors.As(err, &input) {
		// A caller with a key or the name of an answer has sent its request before, and that one may have run.
		answer, _, _ := strings.Cut(r.Header.Get(headerResume), "/")
		input.repeated = key.HasSystemPrefix(r.Header.Get(headerKey)) || resumable(answer)
	}
	return a, err
}

// arrival reads a caller's request into an event.
func (p *Process) arrival(_ context.Context, r *http.Request) (any, error) {
	a := &entry.Arrival{Workspace: r.Header.Get(headerWorkspace), Path: r.URL.Path, Key: r.Header.Get(headerKey)}
	if !r.ProtoAtLeast(1, 1) {
		return nil, &inputError{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.0 cannot show that an answer is not whole; use HTTP/1.1"}
	}
	if r.Method != http.MethodPost {
		return nil, &inputError{status: http.StatusMethodNotAllowed, reason: "use POST"}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &inputError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large or was cut off"}
	}
	a.Body = body
	if text := r.Header.Get(headerTimeout); text != "" {
		a.Timeout, err = time.ParseDuration(text)
		if err != nil || a.Timeout <= 0 {
			return nil, &inputError{status: http.StatusBadRequest, reason: headerTimeout + " is not a duration above zero such as 1.5s"}
		}
	}
	a.ID = newID()
	if text := r.Header.Get(headerResume); text != "" {
		if err := resume(a, text); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// newID returns a request ID that nobody can guess.
func newID() string {
	b := make([]byte, idSize)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// token returns the event ID from which an answer can be resumed.
func token(answer, home string, offset int64) string {
	return answer + "/" + home + "/" + strconv.FormatInt(offset, 10)
}

// resume reads an event ID into an arrival.
func resume(a *entry.Arrival, text string) error {
	answer, rest, _ := strings.Cut(text, "/")
	bad := &inputError{status: http.StatusBadRequest, reason: headerResume + " is not an event ID of this system"}
	last := strings.LastIndexByte(rest, '/')
	if last <= 0 || !resumable(answer) {
		return bad
	}
	offset, err := strconv.ParseInt(rest[last+1:], 10, 64)
	if err != nil || offset < 0 {
		return bad
	}
	a.Answer, a.Home, a.Offset = answer, rest[:last], offset
	return nil
}

// resumable reports whether text can name an answer: by a request ID or by an idempotency key.
func resumable(text string) bool {
	if _, err := key.Parse(text); err == nil {
		return true
	}
	id, err := hex.DecodeString(text)
	return err == nil && len(id) == idSize
}

// submit hands a request to the core and returns its reply.
func (p *Process) submit(ctx context.Context, a *entry.Arrival) *reply {
	r := newReply()
	r.request = p.newRequest(a)
	p.mu.Lock()
	p.replies[a.ID] = r
	p.mu.Unlock()
	r.id = a.ID
	p.handle(entry.Event{Arrival: a})
	context.AfterFunc(ctx, func() { p.handle(entry.Event{CallerGone: &entry.CallerGone{ID: a.ID}}) })
	return r
}

func (p *Process) reply(id string) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies[id]
}

func (p *Process) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, id)
}

// encode writes a reply as it comes.
func (p *Process) encode(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*reply)
	defer p.forget(r.id)
	defer r.close()
	defer r.request.leave()
	out := newWriter(w)
	defer out.release()
	for {
		select {
		case <-ctx.Done():
			// A return would end the answer as if it were whole.
			panic(http.ErrAbortHandler)
		case <-r.wake:
		}
		for _, v := range r.take() {
			r.request.note(v)
			if done := out.write(v); done {
				return nil
			}
		}
	}
}

func (p *Process) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, outcome := http.StatusBadRequest, call.OutcomeNotRun
	var input *inputError
	if errors.As(err, &input) {
		status = input.status
		if input.repeated {
			outcome = call.OutcomeUnknown
		}
	}
	p.reject(status, outcome, err)
	writeProblem(w, problem{Status: status, Outcome: outcome.String(), Detail: fmt.Sprint(err)})
}
