package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

const (
	// watchWait is how long the configuration service may hold a watch.
	watchWait = 2 * time.Second
	// watchPause is the time between a failed watch and the next one.
	watchPause = 250 * time.Millisecond
)

// Follow watches the configuration service and passes on each newer accepted revision.
func (n *Node) Follow(ctx context.Context, accept func(*configuration.Configuration)) {
	var revision int64
	client := &http.Client{Transport: n.Pool.Transport(), Timeout: watchWait + time.Second}
	for ctx.Err() == nil {
		next, err := n.watch(ctx, client, revision)
		switch {
		case err != nil:
			n.Log.Debug("watch", "error", err)
			pause(ctx, watchPause)
		case next != nil && next.Revision > revision:
			revision = next.Revision
			n.Trail.Record(n.Now(), "configuration", "revision", revision, "author", next.Author, "state", "accepted")
			accept(next)
		case next != nil:
			pause(ctx, watchPause)
		}
	}
}

// watch asks once for a revision that is newer than the given one; nil means that there is none yet.
func (n *Node) watch(ctx context.Context, client *http.Client, revision int64) (c *configuration.Configuration, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("watch the configuration service: %w", err)
		}
	}()
	url := fmt.Sprintf("http://%s/v1/configuration?after=%d&wait=%s", n.Settings.Platform, revision, watchWait)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, configuration.MaxSize+1))
	if err != nil {
		return nil, err
	}
	return configuration.Parse(data)
}

// pause waits for a time or the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
