package site

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
)

// pollInterval is the time between two looks at a condition.
const pollInterval = 50 * time.Millisecond

// status is what the trial reads of a process.
type status struct {
	Revision int64 `json:"revision"`
	Targets  []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"targets"`
}

// status reads a process at its operators' address.
func (s *Site) status(p *process) (v status, ok bool) {
	response, err := s.client.Get("http://" + p.settings.Operators.String() + "/status")
	if err != nil {
		return status{}, false
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v) == nil
}

// ready reports whether the platform's balancer would send callers to an entry.
func (s *Site) ready(p *process) bool {
	response, err := s.client.Get("http://" + p.settings.Operators.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// serving reports whether every entry sees every target serving.
func (s *Site) serving() bool {
	for _, p := range s.processes {
		if p.role == settings.RoleEntry && !s.seesAll(p) {
			return false
		}
	}
	return true
}

// seesAll reports whether an entry sees every target serving.
func (s *Site) seesAll(p *process) bool {
	v, ok := s.status(p)
	if !ok || len(v.Targets) != len(s.engines)+len(s.services) {
		return false
	}
	for _, t := range v.Targets {
		if t.State != "serving" {
			return false
		}
	}
	return true
}

// await waits until a condition holds.
func (s *Site) await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		if !sleep(ctx, pollInterval) {
			return ErrNotReady
		}
	}
	return nil
}

// sleep waits for a time; it reports false when the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
