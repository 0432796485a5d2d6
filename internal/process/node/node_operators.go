package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"
)

// Probes are the functions of a process behind its status and readiness endpoints.
type Probes struct {
	// Ready reports whether the process accepts requests.
	Ready func() bool
	// Status returns a summary that can be encoded as JSON.
	Status func() any
}

// OperatorHandler returns the handler of the operators' address.
func (n *Node) OperatorHandler(p Probes) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", n.Metrics)
	mux.Handle("GET /health", jsonHandler(func() any { return map[string]bool{"alive": true} }))
	mux.Handle("GET /status", jsonHandler(p.Status))
	mux.Handle("GET /audit", jsonHandler(func() any { return n.Trail.Changes() }))
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// jsonHandler returns a handler that calls value and serves the result as JSON.
func jsonHandler(value func() any) http.Handler {
	var e endpoint.Endpoint = func(context.Context, any) (any, error) {
		return value(), nil
	}
	decode := func(context.Context, *http.Request) (any, error) {
		return nil, nil
	}
	encode := func(_ context.Context, w http.ResponseWriter, v any) error {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	return httptransport.NewServer(e, decode, encode)
}
