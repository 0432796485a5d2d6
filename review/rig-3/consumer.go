package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// consumers sends requests to entries until the context ends.
type consumers struct {
	host, path, key string
	// timeout is the time limit that each request states.
	timeout time.Duration
	record  *record
	sent    atomic.Int64

	mu sync.Mutex
	// ends holds how each request has ended by its ID: its status, or 0 if its connection ended without an answer.
	ends map[string]int
}

// run sends requests to an entry from a number of connections, each with a pause of half to one and a half times the given one after each
// answer.
func (c *consumers) run(ctx context.Context, front string, count int, pause time.Duration) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: c.timeout}
			for ctx.Err() == nil {
				c.send(client, front)
				select {
				case <-ctx.Done():
				case <-time.After(pause/2 + time.Duration(rand.Int64N(int64(pause)))):
				}
			}
		})
	}
	all.Wait()
}

// send sends one request that may run once at most, so it is not repeated.
func (c *consumers) send(client *http.Client, front string) {
	id := fmt.Sprintf("%016x", c.sent.Add(1))
	r, err := http.NewRequest(http.MethodPost, "http://"+front+c.path, strings.NewReader("hold "+id))
	if err != nil {
		panic(err)
	}
	r.Host = c.host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Timeout-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+c.key)
	c.record.add("sent", "id", id, "to", front)
	status, text := 0, ""
	response, err := client.Do(r)
	if err == nil {
		status = response.StatusCode
		var body []byte
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
		text = strings.TrimSpace(string(body))
	}
	c.record.add("answered", "id", id, "status", status, "error", err, "body", fmt.Sprintf("%.60q", text))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[id] = status
}

// end returns how a request has ended.
func (c *consumers) end(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[id]
}
