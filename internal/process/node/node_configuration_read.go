package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
	"github.com/dragonflydeal/dragonflydeal/internal/fleet/revision"
)

const (
	// watchWait is the time that the configuration service may wait for a newer revision.
	watchWait = time.Second
	// watchGrace is added to watchWait for the timeout of a watch.
	watchGrace = time.Second
)

// newClient returns an HTTP client of the platform.
func (n *Node) newClient() *http.Client {
	return &http.Client{Transport: n.Pool.Transport(), Timeout: watchWait + watchGrace}
}

// followService reads the configuration service whenever a read is due.
func (f *follower) followService(ctx context.Context) {
	client := f.node.newClient()
	for ctx.Err() == nil {
		if !f.due() {
			Pause(ctx, scheduleInterval)
			continue
		}
		useful, err := f.readService(ctx, client, watchWait)
		if err != nil {
			f.node.Log.Debug("watch", "error", err)
		}
		f.recordRead(useful)
	}
}

// due reports whether a read of the service is due.
func (f *follower) due() bool {
	plan := f.plan()
	c, _ := f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.node.Now()
	return f.reader.Due(now, plan.Watch, f.history.Age(now), c)
}

// recordRead records the result of a read, from which the reader schedules the next one.
func (f *follower) recordRead(useful bool) {
	plan := f.plan()
	c, _ := f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	if useful {
		f.reader.Answered(f.node.Now(), plan.Watch, c)
		return
	}
	f.reader.Failed(f.node.Now(), plan.Watch, c)
}

// readService reads the service once. It reports whether the response was useful: a valid newer value, or the
// information that there is none.
func (f *follower) readService(ctx context.Context, client *http.Client, wait time.Duration) (useful bool, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "read the configuration service")
		}
	}()
	_, position := f.current()
	url := fmt.Sprintf("http://%s/v1/configuration?after=%d&wait=%s", f.node.Settings.Platform, position.Revision, wait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		f.recordContact(0)
		return true, nil
	}
	if response.StatusCode != http.StatusOK {
		return false, merry.Errorf("unexpected status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, configuration.MaxSize+1))
	if err != nil {
		return false, err
	}
	v := f.offer(data, "service")
	if v.State == revision.StateRefused || v.Signal == "valid" {
		f.recordContact(0)
	}
	return v.Signal == "valid", nil
}
