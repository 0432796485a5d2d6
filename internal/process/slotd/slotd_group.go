package slotd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
	"github.com/dragonflydeal/dragonflydeal/internal/wire/transport"
)

const (
	// groupInterval is the interval at which the engine's state in its group is read.
	groupInterval = 100 * time.Millisecond
	// orderTimeout bounds an order that does not load weights.
	orderTimeout = time.Second
	// loadTimeout bounds an order that loads weights.
	loadTimeout = time.Minute
	// maxGroupReplySize is the largest response of the group interface in bytes.
	maxGroupReplySize = 4 << 20
)

// errNoGroupInterface reports an engine that belongs to no group.
var errNoGroupInterface = merry.Sentinel("the engine has no group interface")

// groupReply is the engine's response to a read or an order.
type groupReply struct {
	// Engine is the state of the expert maps.
	Engine mapswitch.Engine `json:"engine"`
	// Plan is the encoded expert map in use.
	Plan []byte `json:"plan"`
	// Loads counts the tokens of each expert.
	Loads []uint64 `json:"loads"`
	// Refusal is the reason why an order was refused, or empty.
	Refusal string `json:"refusal"`
}

// readGroup reads the engine's state in its group once and passes it to the core.
func (p *Process) readGroup(ctx context.Context) {
	if !p.grouped() {
		return
	}
	reply, err := p.callGroup(ctx, http.MethodGet, nil, orderTimeout)
	switch {
	case errors.Is(err, errNoGroupInterface):
		p.handle(slot.Event{Group: &slot.GroupReport{Absent: true}})
	case err == nil:
		p.handle(slot.Event{Group: &slot.GroupReport{Engine: reply.Engine, Plan: reply.Plan, Loads: reply.Loads}})
	}
}

func (p *Process) grouped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.core.Grouped()
}

// runOrder sends an order to the engine in the background and passes the result to the core.
func (p *Process) runOrder(o *mapswitch.Order) {
	go func() {
		result := &mapswitch.OrderResult{Order: *o}
		reply, err := p.postOrder(o)
		if err == nil {
			result.Engine, result.Refusal = &reply.Engine, reply.Refusal
		}
		p.handle(slot.Event{OrderResult: result})
	}()
}

func (p *Process) postOrder(o *mapswitch.Order) (reply *groupReply, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	timeout := orderTimeout
	if o.Kind == mapswitch.OrderLoad {
		timeout = loadTimeout
	}
	return p.callGroup(p.ctx, http.MethodPost, body, timeout)
}

// callGroup makes one call of the engine's group interface.
func (p *Process) callGroup(ctx context.Context, method string, body []byte, timeout time.Duration) (reply *groupReply, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "group interface")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, p.engineURL("/group"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send an order again on another connection.
	request.GetBody = nil
	response, err := p.engineClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errNoGroupInterface
	}
	reply = &groupReply{}
	return reply, transport.DecodeJSON(response, maxGroupReplySize, reply)
}
