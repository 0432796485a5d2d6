package failure

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller got.
type answer struct {
	// status is the HTTP status, or zero when none came.
	status int
	// text is the answer's text.
	text string
	// whole tells that the answer was marked as complete.
	whole bool
	// token is the newest event ID.
	token string
	// problem is the error document, if one came.
	problem problem
	// retry is the Retry-After header.
	retry string
	// took is the time to the end.
	took time.Duration
}

// problem is the error document as callers read it.
type problem struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Key     string `json:"key"`
}

// question is a caller's request.
type question struct {
	path      string
	workspace string
	body      string
	key       string
	token     string
	timeout   time.Duration
	// each is called for each piece of text, or is nil.
	each func(text string)
}

// callerTimeout bounds every call of the tests.
const callerTimeout = 30 * time.Second

// ask sends a request to an entry and reads the answer to its end.
func (p *process) ask(q question) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.settings.Callers.String()+q.path, strings.NewReader(q.body))
	if err != nil {
		return a
	}
	r.GetBody = nil
	q.headers(r.Header)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.retry = response.Header.Get("Retry-After")
	media := response.Header.Get("Content-Type")
	switch {
	case strings.HasPrefix(media, "application/problem+json"):
		_ = json.NewDecoder(response.Body).Decode(&a.problem)
	case strings.HasPrefix(media, "text/event-stream"):
		a.events(response.Body, q.each)
	default:
		body, err := io.ReadAll(response.Body)
		a.text, a.whole = string(body), err == nil
	}
	return a
}

func (q *question) headers(h http.Header) {
	workspace := q.workspace
	if workspace == "" {
		workspace = "school"
	}
	h.Set("Workspace", workspace)
	if q.key != "" {
		h.Set("Idempotency-Key", q.key)
	}
	if q.token != "" {
		h.Set("Last-Event-ID", q.token)
	}
	if q.timeout > 0 {
		h.Set("Request-Timeout", q.timeout.String())
	}
}

// events reads a stream of events to its end.
func (a *answer) events(body io.Reader, each func(string)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	name := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch field {
		case "event":
			name = value
		case "id":
			a.token = value
		case "data":
			a.event(name, value, each)
			name = ""
		}
	}
}

func (a *answer) event(name, data string, each func(string)) {
	switch name {
	case "end":
		a.whole = true
	case "error":
		_ = json.Unmarshal([]byte(data), &a.problem)
	default:
		var v struct {
			Text string `json:"text"`
		}
		_ = json.Unmarshal([]byte(data), &v)
		a.text += v.Text
		if each != nil {
			each(v.Text)
		}
	}
}

// askOnce asks for a key and then repeats the request with it.
func (p *process) askOnce(q question) (a answer, key string) {
	first := p.ask(q)
	if first.status != http.StatusPreconditionRequired {
		return first, ""
	}
	q.key = first.problem.Key
	return p.ask(q), q.key
}
