package slotd

import (
	"bytes"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/core/slot"
	"github.com/dragonflydeal/dragonflydeal/internal/process/node"
	"github.com/dragonflydeal/dragonflydeal/internal/request/answer"
	"github.com/dragonflydeal/dragonflydeal/internal/request/call"
)

// TestReadWish checks what a slot makes of an engine's word; what can't be used is logged with its header.
func TestReadWish(t *testing.T) {
	tests := []struct {
		name, wait, leaving string
		want                time.Duration
		logged              string
	}{
		{"nothing", "", "", 0, ""},
		{"wait", "2.5", "", 2500 * time.Millisecond, ""},
		{"endless wait", "1e999", "", answer.MaxWait, ""},
		{"infinite wait", "inf", "", 0, "Retry-After"},
		{"negative wait", "-1", "", 0, "Retry-After"},
		{"leaving in words", "2", "soon", 2 * time.Second, "Server-Leaving"},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var log bytes.Buffer
			p := &Process{Node: &node.Node{Log: slog.New(slog.NewTextHandler(&log, nil))}}
			response := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Not-Run": {"1"}}}
			if v.wait != "" {
				response.Header.Set("Retry-After", v.wait)
			}
			if v.leaving != "" {
				response.Header.Set("Server-Leaving", v.leaving)
			}
			wait, leaving := p.readWish(&slot.Run{ID: "1"}, response)
			is.Equal(wait, v.want)
			is.True(!leaving)
			is.Equal(log.Len() > 0, v.logged != "")
			is.True(strings.Contains(log.String(), v.logged))
		})
	}
}

// TestEnginesOwnRefusal checks which answers of an engine without a body say that a request has not run.
func TestEnginesOwnRefusal(t *testing.T) {
	tests := []struct {
		status  int
		promise bool
		want    call.Outcome
		passed  int
	}{
		{http.StatusOK, false, call.OutcomeComplete, http.StatusOK},
		{http.StatusNotFound, false, call.OutcomeComplete, http.StatusNotFound},
		{http.StatusInternalServerError, false, call.OutcomeComplete, http.StatusInternalServerError},
		{http.StatusSwitchingProtocols, false, call.OutcomeFailed, 0},
		{http.StatusRequestTimeout, false, call.OutcomeFailed, 0},
		{http.StatusMisdirectedRequest, false, call.OutcomeFailed, 0},
		{http.StatusTooManyRequests, false, call.OutcomeFailed, 0},
		{http.StatusTooManyRequests, true, call.OutcomeNotRun, 0},
		{http.StatusServiceUnavailable, false, call.OutcomeFailed, 0},
		{http.StatusServiceUnavailable, true, call.OutcomeNotRun, 0},
	}
	for _, v := range tests {
		t.Run(strconv.Itoa(v.status)+"/"+strconv.FormatBool(v.promise), func(t *testing.T) {
			is := is.New(t)
			p := &Process{Node: &node.Node{Log: slog.New(slog.DiscardHandler)}}
			response := &http.Response{StatusCode: v.status, Header: http.Header{}, Body: http.NoBody, ContentLength: 0}
			if v.promise {
				response.Header.Set(headerNotRun, "1")
			}
			result := p.copyAnswer(&slot.Run{ID: "1", Request: call.Request{}}, response, func(error) {})
			is.Equal(result.Outcome, v.want)
			is.Equal(result.Status, v.passed)
		})
	}
}

// TestEachStatusOfAnEngine has an engine answer with each status, with and without the header that says that the request has not run.
func TestEachStatusOfAnEngine(t *testing.T) {
	for _, refused := range []bool{false, true} {
		for status := 100; status < 600; status++ {
			is := is.New(t)
			p := &Process{Node: &node.Node{Log: slog.New(slog.DiscardHandler)}}
			response := &http.Response{StatusCode: status, Header: http.Header{}, Body: http.NoBody, ContentLength: 0}
			if refused {
				response.Header.Set(headerNotRun, "1")
			}
			want, passed := call.OutcomeComplete, status
			switch promise := status == 408 || status == 421 || status == 429 || status == 503; {
			case promise && refused:
				want, passed = call.OutcomeNotRun, 0
			case promise || status < 200:
				want, passed = call.OutcomeFailed, 0
			}
			result := p.copyAnswer(&slot.Run{ID: "1", Request: call.Request{}}, response, func(error) {})
			is.Equal(result.Outcome, want)  // status
			is.Equal(result.Status, passed) // status
		}
	}
}
