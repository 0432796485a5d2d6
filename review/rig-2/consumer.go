package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// host is that of all routes.
const host = "site.example"

// result is what a consumer got for a request.
type result struct {
	id     string
	status int
	body   string
	err    error
}

// whole reports whether the consumer got the engine's answer or a refusal in full.
func (v result) whole() bool {
	return v.err == nil
}

// transport opens a channel for each request.
func transport() *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// send sends a request and waits for its answer. Consumers of the rig do not retry.
func (r *rig) send(to netip.AddrPort, id, method, path string, timeout time.Duration) result {
	v := result{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, nil)
	if err != nil {
		return result{id: id, err: err}
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	r.note("consumer sends %s: %s %s", id, method, path)
	response, err := transport().RoundTrip(request)
	if err == nil {
		defer response.Body.Close()
		v.status = response.StatusCode
		var body []byte
		body, err = io.ReadAll(response.Body)
		v.body = string(body)
	}
	v.err = err
	r.note("consumer gets for %s: status %d, %q, error %v", id, v.status, v.body, err)
	return v
}

// get makes a call and returns its status.
func get(to netip.AddrPort, path string) (status int, err error) {
	client := http.Client{Transport: transport(), Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s%s", to, path))
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}
