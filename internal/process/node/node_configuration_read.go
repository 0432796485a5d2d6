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
	// watchWait is how long the configuration service may hold a watch.
	watchWait = time.Second
	// watchGrace is the time for the service's answer itself.
	watchGrace = time.Second
)

// newClient returns an HTTP client for the platform.
func (n *Node) newClient() *http.Client {
	return &http.Client{Transport: n.Pool.Transport(), Timeout: watchWait + watchGrace}
}

// readAll reads the configuration service whenever a read is due.
func (f *follower) readAll(ctx context.Context) {
	client := f.node.newClient()
	for ctx.Err() == nil {
		if !f.due() {
			Pause(ctx, planInterval)
			continue
		}
		useful, err := f.read(ctx, client, watchWait)
		if err != nil {
			f.node.Log.Debug("watch", "error", err)
		}
		f.settle(useful)
	}
}

// due reports whether to read the service now.
func (f *follower) due() bool {
	plan := f.plan()
	c, _ := f.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.node.Now()
	return f.reader.Due(now, plan.Watch, f.book.Age(now), c)
}

// settle passes the result of a read to the reader's pace.
func (f *follower) settle(useful bool) {
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

// read asks the service once and reports whether its answer was of use: a newer value, or none yet.
func (f *follower) read(ctx context.Context, client *http.Client, wait time.Duration) (useful bool, err error) {
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
		f.hear(0)
		return true, nil
	}
	if response.StatusCode != http.StatusOK {
		return false, merry.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, configuration.MaxSize+1))
	if err != nil {
		return false, err
	}
	v := f.take(data, "service")
	if v.State == revision.StateRefused || v.Signal == "valid" {
		f.hear(0)
	}
	return v.Signal == "valid", nil
}
