package failure

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

func TestWholePath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1, services: 1})
	entry := s.processes["entry-c1-0"]

	a := entry.ask(question{path: "/v1/desk", body: `{"prompt":"Rīga","tokens":50}`})
	is.Equal(a.status, http.StatusOK)
	is.True(a.whole)
	is.Equal(a.text, engine.Expected("Rīga", 50))

	lookup := entry.ask(question{path: "/v1/lookups", body: "Uashat"})
	is.Equal(lookup.status, http.StatusOK)
	is.Equal(lookup.text, "done 1: Uashat")

	hold, key := entry.askOnce(question{path: "/v1/holds", body: "room 7"})
	is.Equal(hold.status, http.StatusOK)
	is.Equal(hold.text, "done 1: room 7")
	again := entry.ask(question{path: "/v1/holds", body: "room 7", key: key})
	is.Equal(again.text, hold.text)
	is.Equal(s.services["hold-c1-0"].Runs(key), 1)
}

func TestRefusals(t *testing.T) {
	s := newSite(t, siteOptions{centres: 1, entries: 1, engines: 1})
	entry := s.processes["entry-c1-0"]
	tests := []struct {
		name   string
		q      question
		status int
	}{
		{"unknown workspace", question{path: "/v1/desk", workspace: "nobody"}, http.StatusForbidden},
		{"unknown path", question{path: "/v2/none"}, http.StatusNotFound},
		{"malformed token", question{path: "/v1/desk", token: "x"}, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := entry.ask(test.q)
			is.Equal(a.status, test.status)
			is.Equal(a.problem.Outcome, "not-run")
		})
	}
}
