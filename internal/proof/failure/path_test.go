package failure

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

func TestRequestPath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]

	a := entry.send(request{path: "/v1/desk", body: `{"prompt":"Rīga","tokens":50}`})
	is.Equal(a.status, http.StatusOK)
	is.True(a.complete)
	is.Equal(a.text, engine.Expected("Rīga", 50))

	lookup := entry.send(request{path: "/v1/lookups", body: "Uashat"})
	is.Equal(lookup.status, http.StatusOK)
	is.Equal(lookup.text, "done 1: Uashat")

	hold, key := entry.sendWithKey(request{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.status, http.StatusOK)
	is.Equal(hold.text, "done 1: room 7")
	again := entry.send(request{path: "/v1/holds", body: "room 7", key: key})
	is.Equal(again.text, hold.text)
	is.Equal(s.services["hold-c1-0"].Runs(key), 1)
}

func TestRefusals(t *testing.T) {
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	entry := s.processes["entry-c1-0"]
	tests := []struct {
		name   string
		q      request
		status int
	}{
		{"unknown workspace", request{path: "/v1/desk", workspace: "nobody"}, http.StatusForbidden},
		{"unknown path", request{path: "/v2/none"}, http.StatusNotFound},
		{"malformed token", request{path: "/v1/desk", lastEventID: "x"}, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := entry.send(test.q)
			is.Equal(a.status, test.status)
			is.Equal(a.problem.Outcome, "not-run")
		})
	}
}
