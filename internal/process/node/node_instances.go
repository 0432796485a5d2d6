package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	// instancesInterval is the interval at which the platform's list of instances is read.
	instancesInterval = 2 * time.Second
	// maxInstancesSize is the largest size of the list in bytes.
	maxInstancesSize = 4 << 20
	// instanceLeaving is the state of an instance that the platform is about to remove.
	instanceLeaving = "leaving"
)

// instance is an element of the platform's list.
type instance struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// FollowLeavingInstances calls leaving with the name of each instance that the platform lists as leaving, after every read
// of the list, until the context ends. It reads the list only while this process is a watcher of the configuration service.
func (n *Node) FollowLeavingInstances(ctx context.Context, leaving func(name string)) {
	client := n.newClient()
	for ctx.Err() == nil {
		Pause(ctx, instancesInterval)
		if !n.follower.plan().Watch {
			continue
		}
		list, err := n.listInstances(ctx, client)
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

// listInstances reads the list once.
func (n *Node) listInstances(ctx context.Context, client *http.Client) (list []instance, err error) {
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
	return list, transport.DecodeJSON(response, maxInstancesSize, &list)
}
