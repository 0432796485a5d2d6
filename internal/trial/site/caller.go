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

	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

// maxEventBytes is the largest length of a line of an event stream.
const maxEventBytes = 1 << 20

// apiRequest is a caller's request.
type apiRequest struct {
	path, workspace, body, key string
}

// apiResult is the answer that a caller received.
type apiResult struct {
	// status is the HTTP status, or zero if no answer arrived.
	status int
	// text is the received text of the answer.
	text string
	// complete is set if the answer arrived in full; the last event of a stream confirms that.
	complete bool
	// problem is the error document, if one arrived.
	problem problem
	// began and ended are the start and the end of the request.
	began, ended time.Time
	// firstToken is the time to the first token; it is zero if none arrived.
	firstToken time.Duration
	// tokenGaps are the times between tokens.
	tokenGaps []time.Duration
}

// problem is the error document of the callers' HTTP interface.
type problem struct {
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Key     string `json:"key"`
}

// caller sends requests to the entries as a caller outside the system does.
type caller struct {
	client *http.Client
}

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: transport.New(&http.Transport{MaxIdleConnsPerHost: maxIdleConns})}}
}

// maxIdleConns bounds the idle connections of the callers to one entry.
const maxIdleConns = 64

// send sends a request to an entry and reads the answer to its end.
func (c *caller) send(ctx context.Context, entry netip.AddrPort, q apiRequest) (r apiResult) {
	r.began = time.Now()
	defer func() { r.ended = time.Now() }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.String()+q.path, strings.NewReader(q.body))
	if err != nil {
		return r
	}
	// Without GetBody the transport cannot retry a request on its own.
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
	r.readBody(response)
	return r
}

// readBody reads the body according to its media type.
func (r *apiResult) readBody(response *http.Response) {
	media := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(media, "application/problem+json"):
		_ = json.NewDecoder(response.Body).Decode(&r.problem)
	case strings.HasPrefix(media, "text/event-stream"):
		r.readEvents(response.Body)
	default:
		body, err := io.ReadAll(response.Body)
		r.text, r.complete = string(body), err == nil
	}
}

// readEvents reads a stream of events to its end.
func (r *apiResult) readEvents(body io.Reader) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	name, last := "", r.began
	var text strings.Builder
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch {
		case field == "event":
			name = value
		case field == "data" && name == "end":
			r.complete = true
		case field == "data" && name == "error":
			_ = json.Unmarshal([]byte(value), &r.problem)
		case field == "data":
			last = r.addToken(&text, value, last)
		}
	}
	r.text = text.String()
}

// addToken appends the text of one event, records its latency and returns its time of arrival.
func (r *apiResult) addToken(text *strings.Builder, value string, last time.Time) time.Time {
	var v struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal([]byte(value), &v)
	text.WriteString(v.Text)
	now := time.Now()
	if r.firstToken == 0 {
		r.firstToken = now.Sub(r.began)
		return now
	}
	r.tokenGaps = append(r.tokenGaps, now.Sub(last))
	return now
}
