package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// instancesInterval is the time between two reads of the platform's list of instances.
	instancesInterval = 2 * time.Second
	// instancesSize bounds the list in bytes.
	instancesSize = 4 << 20
	// instanceLeaving is the state of an instance that the platform takes away.
	instanceLeaving = "leaving"
)

// instance is one line of the platform's list.
type instance struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// ReadInstances passes on the leaving instances of the platform's list while the process is a watcher.
func (n *Node) ReadInstances(ctx context.Context, leaving func(name string)) {
	client := n.newClient()
	for ctx.Err() == nil {
		Pause(ctx, instancesInterval)
		if !n.follower.plan().Watch {
			continue
		}
		list, err := n.instances(ctx, client)
		if err != nil {
			n.Log.Debug("instances", "error", err)
		}
		for _, v := range list {
			if v.State == instanceLeaving {
				leaving(v.Name)
			}
		}
	}
}

// instances reads the list once.
func (n *Node) instances(ctx context.Context, client *http.Client) (list []instance, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "read the list of instances")
		}
	}()
	url := fmt.Sprintf("http://%s/v1/instances", n.Settings.Platform)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, instancesSize)).Decode(&list)
	return list, err
}
