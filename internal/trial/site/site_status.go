package site

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
)

// pollInterval is the time between two polls of a condition.
const pollInterval = 50 * time.Millisecond

// status is the part of a process's status that the trial reads.
type status struct {
	Revision int64 `json:"revision"`
	Targets  []struct {
		Name  string `json:"name"`
		State string `json:"state"`
	} `json:"targets"`
}

// readStatus reads the status of a process at its operators' address.
func (s *Site) readStatus(p *process) (v status, ok bool) {
	response, err := s.client.Get("http://" + p.settings.Operators.String() + "/status")
	if err != nil {
		return status{}, false
	}
	defer response.Body.Close()
	return v, json.NewDecoder(response.Body).Decode(&v) == nil
}

// isReady reports whether an entry passes the health check of the platform's balancer.
func (s *Site) isReady(p *process) bool {
	response, err := s.client.Get("http://" + p.settings.Operators.String() + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// allServing reports whether every entry sees every target as serving.
func (s *Site) allServing() bool {
	for _, p := range s.processes {
		if p.role == settings.RoleEntry && !s.seesAllServing(p) {
			return false
		}
	}
	return true
}

// seesAllServing reports whether an entry sees every target as serving.
func (s *Site) seesAllServing(p *process) bool {
	v, ok := s.readStatus(p)
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

// waitFor polls a condition until it holds; it fails after readyTimeout or when the context ends.
func (s *Site) waitFor(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !condition() {
		if !sleep(ctx, pollInterval) {
			return ErrNotReady
		}
	}
	return nil
}

// sleep waits for a time; it reports false if the context ends first.
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
