package site

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

// eventSize is the largest line of an event stream in bytes.
const eventSize = 1 << 20

// question is a caller's request.
type question struct {
	path, workspace, body, key string
}

// reply is what a caller got.
type reply struct {
	// status is the HTTP status, or zero when no answer came.
	status int
	// text is the answer.
	text string
	// whole tells that the answer was marked as complete.
	whole bool
	// problem is the error document, if one came.
	problem problem
	// began and ended are the times of the request.
	began, ended time.Time
	// first is the time to the first text; it is zero when none came.
	first time.Duration
	// gaps are the times between texts.
	gaps []time.Duration
}

// problem is the error document of the callers' interface.
type problem struct {
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Key     string `json:"key"`
}

// caller sends requests from outside the system.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}}}
}

// maxConns bounds the idle connections of the callers to one entry.
const maxConns = 64

// ask sends a request to an entry and reads the answer to its end.
func (c *caller) ask(ctx context.Context, entry netip.AddrPort, q question) (r reply) {
	r.began = time.Now()
	defer func() { r.ended = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+q.path, strings.NewReader(q.body))
	if err != nil {
		return r
	}
	// Without GetBody the transport cannot repeat a request on its own.
	request.GetBody = nil
	request.Header.Set("Workspace", q.workspace)
	if q.key != "" {
		request.Header.Set("Idempotency-Key", q.key)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	r.read(response)
	return r
}

// read reads the body by its media type.
func (r *reply) read(response *http.Response) {
	media := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(media, "application/problem+json"):
		_ = json.NewDecoder(response.Body).Decode(&r.problem)
	case strings.HasPrefix(media, "text/event-stream"):
		r.events(response.Body)
	default:
		body, err := io.ReadAll(response.Body)
		r.text, r.whole = string(body), err == nil
	}
}

// events reads a stream of events to its end.
func (r *reply) events(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, eventSize)
	name, last := "", r.began
	var text strings.Builder
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch {
		case field == "event":
			name = value
		case field == "data" && name == "end":
			r.whole = true
		case field == "data" && name == "error":
			_ = json.Unmarshal([]byte(value), &r.problem)
		case field == "data":
			last = r.token(&text, value, last)
		}
	}
	r.text = text.String()
}

// token takes in one text and returns its time.
func (r *reply) token(text *strings.Builder, value string, last time.Time) time.Time {
	var v struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal([]byte(value), &v)
	text.WriteString(v.Text)
	now := time.Now()
	if r.first == 0 {
		r.first = now.Sub(r.began)
		return now
	}
	r.gaps = append(r.gaps, now.Sub(last))
	return now
}
