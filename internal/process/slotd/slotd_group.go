package slotd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/group/mapswitch"
)

const (
	// groupInterval is the time between two reads of the engine's part in its group.
	groupInterval = 100 * time.Millisecond
	// orderTimeout bounds an order that does not load weights.
	orderTimeout = time.Second
	// loadTimeout bounds a load of weights.
	loadTimeout = time.Minute
	// groupSize bounds an engine's answer in bytes.
	groupSize = 4 << 20
)

// errNoGroup reports an engine that has no part in any group.
var errNoGroup = merry.Sentinel("the engine has no group interface")

// groupReply is the engine's answer to a read or an order.
type groupReply struct {
	// Engine is the state of the expert maps.
	Engine mapswitch.Engine `json:"engine"`
	// Plan is the encoded map in use.
	Plan []byte `json:"plan"`
	// Loads counts the tokens of each expert.
	Loads []uint64 `json:"loads"`
	// Refusal is why an order was refused, or empty.
	Refusal string `json:"refusal"`
}

// readGroup reads the engine's part in its group once.
func (p *Process) readGroup(ctx context.Context) {
	if !p.grouped() {
		return
	}
	reply, err := p.askGroup(ctx, http.MethodGet, nil, orderTimeout)
	switch {
	case errors.Is(err, errNoGroup):
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

// order gives one order to the engine in the background.
func (p *Process) order(o *mapswitch.Order) {
	go func() {
		done := &mapswitch.OrderResult{Order: *o}
		reply, err := p.giveOrder(o)
		if err == nil {
			done.Engine, done.Refusal = &reply.Engine, reply.Refusal
		}
		p.handle(slot.Event{Done: done})
	}()
}

func (p *Process) giveOrder(o *mapswitch.Order) (reply *groupReply, err error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	limit := orderTimeout
	if o.Kind == mapswitch.OrderLoad {
		limit = loadTimeout
	}
	return p.askGroup(p.ctx, http.MethodPost, body, limit)
}

// askGroup makes one call to the engine's group interface.
func (p *Process) askGroup(ctx context.Context, method string, body []byte, limit time.Duration) (reply *groupReply, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "group interface")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, p.url("/group"), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot repeat an order on another connection.
	request.GetBody = nil
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, errNoGroup
	}
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %d", response.StatusCode)
	}
	reply = &groupReply{}
	return reply, json.NewDecoder(io.LimitReader(response.Body, groupSize)).Decode(reply)
}
