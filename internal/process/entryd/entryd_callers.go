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
	"github.com/dragonflydeal/dragonflydeal/internal/request/caller"
	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
	"github.com/dragonflydeal/dragonflydeal/internal/request/suspect"
)

// Headers of the callers' API.
const (
	headerWorkspace = "Workspace"
	headerKey       = "Idempotency-Key"
	headerResume    = "Last-Event-ID"
	headerTimeout   = "Request-Timeout"
	headerParts     = "Prompt-Parts"
)

// idSize is the size of a request ID in bytes.
const idSize = 16

// requestError reports an invalid request of a caller.
type requestError struct {
	status int
	reason string
	// mayHaveRun is set if the caller has sent the request before and it may have run then.
	mayHaveRun bool
}

// Error implements the error interface.
func (e *requestError) Error() string {
	return e.reason
}

// callerHandler returns the HTTP handler of the callers' address.
func (p *Process) callerHandler() http.Handler {
	var serve endpoint.Endpoint = func(ctx context.Context, request any) (any, error) {
		return p.submit(ctx, request.(*entry.Arrival)), nil
	}
	server := httptransport.NewServer(serve, p.decodeArrival, p.writeReply, httptransport.ServerErrorEncoder(p.encodeError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller.LimitBody(w, r, p.Settings.Body, p.Now())
		server.ServeHTTP(w, r)
	})
}

// decodeArrival decodes a caller's request and marks an error if the request may already have run.
func (p *Process) decodeArrival(ctx context.Context, r *http.Request) (any, error) {
	a, err := p.readArrival(ctx, r)
	var invalid *requestError
	if errors.As(err, &invalid) {
		// A caller that sends a key or names an answer has sent the request before, and it may have run then.
		answer, _, _ := strings.Cut(r.Header.Get(headerResume), "/")
		invalid.mayHaveRun = key.HasSystemPrefix(r.Header.Get(headerKey)) || isAnswerName(answer)
	}
	return a, err
}

// readArrival decodes and checks a caller's request.
func (p *Process) readArrival(_ context.Context, r *http.Request) (any, error) {
	a := &entry.Arrival{Workspace: r.Header.Get(headerWorkspace), Path: r.URL.Path, Key: r.Header.Get(headerKey)}
	if !caller.ShowsTruncation(r) {
		return nil, &requestError{status: http.StatusHTTPVersionNotSupported, reason: caller.ProtocolReason}
	}
	if r.Method != http.MethodPost {
		return nil, &requestError{status: http.StatusMethodNotAllowed, reason: "use POST"}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, &requestError{status: http.StatusRequestEntityTooLarge, reason: "the body is too large or incomplete"}
	}
	a.Body = body
	if text := r.Header.Get(headerTimeout); text != "" {
		a.Timeout, err = time.ParseDuration(text)
		if err != nil || a.Timeout <= 0 {
			return nil, &requestError{status: http.StatusBadRequest, reason: headerTimeout + " is not a positive duration such as 1.5s"}
		}
	}
	a.Parts = decodeParts(r.Header.Get(headerParts))
	a.ID = newID()
	if text := r.Header.Get(headerResume); text != "" {
		if err := parseResumeToken(a, text); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// decodeParts returns the fingerprints of the parts of a prompt, which are separated by commas.
func decodeParts(list string) (parts []uint64) {
	for id := range strings.SplitSeq(list, ",") {
		if id = strings.TrimSpace(id); id != "" && len(parts) < suspect.MaxParts {
			parts = append(parts, suspect.PartFingerprint(id))
		}
	}
	return parts
}

// newID returns an unguessable request ID.
func newID() string {
	b := make([]byte, idSize)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// resumeToken returns the event ID at which a caller can resume an answer.
func resumeToken(answer, home string, offset int64) string {
	return answer + "/" + home + "/" + strconv.FormatInt(offset, 10)
}

// parseResumeToken parses an event ID into an arrival.
func parseResumeToken(a *entry.Arrival, text string) error {
	answer, rest, _ := strings.Cut(text, "/")
	malformed := &requestError{status: http.StatusBadRequest, reason: headerResume + " is not an event ID of this system"}
	separator := strings.LastIndexByte(rest, '/')
	if separator <= 0 || !isAnswerName(answer) {
		return malformed
	}
	offset, err := strconv.ParseInt(rest[separator+1:], 10, 64)
	if err != nil || offset < 0 {
		return malformed
	}
	a.Answer, a.Home, a.Offset = answer, rest[:separator], offset
	return nil
}

// isAnswerName reports whether text can identify an answer: it is a request ID or an idempotency key.
func isAnswerName(text string) bool {
	if _, err := key.Parse(text); err == nil {
		return true
	}
	id, err := hex.DecodeString(text)
	return err == nil && len(id) == idSize
}

// submit passes a request to the core and returns its reply.
func (p *Process) submit(ctx context.Context, a *entry.Arrival) *reply {
	r := newReply()
	r.log = p.newRequestLog(a)
	p.mu.Lock()
	p.replies[a.ID] = r
	p.mu.Unlock()
	r.id = a.ID
	p.handle(entry.Event{Arrival: a})
	context.AfterFunc(ctx, func() { p.handle(entry.Event{CallerGone: &entry.CallerGone{ID: a.ID}}) })
	return r
}

func (p *Process) findReply(id string) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replies[id]
}

func (p *Process) removeReply(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, id)
}

// writeReply writes the parts of a reply as they arrive.
func (p *Process) writeReply(ctx context.Context, w http.ResponseWriter, response any) error {
	r := response.(*reply)
	defer p.removeReply(r.id)
	defer r.close()
	defer r.log.recordAbandoned()
	out := newWriter(w)
	defer out.clearDeadline()
	for {
		select {
		case <-ctx.Done():
			// Returning would end the response as if it were complete.
			panic(http.ErrAbortHandler)
		case <-r.wake:
		}
		for _, v := range r.drain() {
			r.log.recordPart(v)
			if done := out.writePart(v); done {
				return nil
			}
		}
	}
}

func (p *Process) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	status, outcome := http.StatusBadRequest, call.OutcomeNotRun
	var invalid *requestError
	if errors.As(err, &invalid) {
		status = invalid.status
		if invalid.mayHaveRun {
			outcome = call.OutcomeUnknown
		}
	}
	p.recordRefusal(status, outcome, err)
	writeProblem(w, problem{Status: status, Outcome: outcome.String(), Detail: fmt.Sprint(err)})
}
