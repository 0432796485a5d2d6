// Package site holds what a process knows of a site whose platform owns the inventory: settings, configuration, targets.
package site

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// ErrCompacted reports that the store no longer knows the changes since the asked revision.
var ErrCompacted = errors.New("the store's history does not reach back that far")

// StatusError is an HTTP status that is not the expected one.
type StatusError struct {
	// Status is the HTTP status.
	Status int
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d", e.Status)
}

// Settings are what a process learns at its start.
type Settings struct {
	// Name is the name of the instance.
	Name string
	// Centre is the name of the data centre.
	Centre string
	// Service is the service of the slot's target.
	Service string
	// Peers is the UDP address for the system's other processes.
	Peers netip.AddrPort
	// Metrics is the operators' HTTP address.
	Metrics netip.AddrPort
	// Seeds are addresses of some entries; they may be stale.
	Seeds []netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// History is how far back the store knows changes.
	History time.Duration
	// Callers, Ready and Control are the addresses of an entry.
	Callers, Ready, Control netip.AddrPort
	// Engine is the address of a slot's engine.
	Engine netip.AddrPort
	// Grace is the time between the signal to stop and the kill.
	Grace time.Duration
	// Revoke is the time within which a removed key must stop working; zero sets no limit.
	Revoke time.Duration
	// Retries bounds what all entries together send beyond the first attempts.
	Retries RetryBound
	// Memory is the limit of the process in bytes.
	Memory int64
}

// CheckReload returns an error when other settings differ in what only a new process can take up.
func (s *Settings) CheckReload(other *Settings) error {
	for _, v := range []struct {
		name     string
		old, new any
	}{
		{"name", s.Name, other.Name}, {"data centre", s.Centre, other.Centre}, {"peers' address", s.Peers, other.Peers},
		{"metrics address", s.Metrics, other.Metrics}, {"store", s.Store, other.Store}, {"callers' address", s.Callers, other.Callers},
		{"ready address", s.Ready, other.Ready}, {"control address", s.Control, other.Control}, {"engine", s.Engine, other.Engine},
	} {
		if v.old != v.new {
			return fmt.Errorf("%s changes from %v to %v: restart the process", v.name, v.old, v.new)
		}
	}
	return nil
}

// RetryBound bounds repeats at a service, summed over all entries, in every window.
type RetryBound struct {
	// Ratio is the number of repeats for each request.
	Ratio float64
	// Slack is the number of repeats beyond the ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}
