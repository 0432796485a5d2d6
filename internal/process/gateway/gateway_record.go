package gateway

import (
	"errors"
	"maps"
	"slices"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// updateTargets applies changed records of targets. A record that can't be used names no target.
func (p *Process) updateTargets(s *storeState, list []site.TargetRecord) {
	p.noteServices(s)
	for _, e := range list {
		delete(s.targets, e.ID)
		delete(s.unserved, e.ID)
		if e.Target == nil {
			delete(s.colds, e.ID)
		} else {
			e.Target.ColdUntil = p.coldUntil(s, &e)
		}
		switch {
		case e.Fault != nil:
			p.rejectRecord(s, e.ID, e.Fault)
			continue
		case e.Target != nil && !s.services[e.Target.Service]:
			s.unserved[e.ID] = *e.Target
			if s.servicesVersion == 0 {
				// No configuration is known yet.
				continue
			}
			p.rejectRecord(s, e.ID, &site.RecordError{Field: "service", Problem: "no route or service of the configuration has this name"})
			continue
		case e.Target != nil:
			s.targets[e.ID] = *e.Target
		}
		delete(s.invalid, e.ID)
	}
}

// noteServices notes the services that the configuration names, and takes up the targets that wait for one of them. A service that it
// no longer names stays, as requests may still run at its targets.
func (p *Process) noteServices(s *storeState) {
	c := p.configuration.Load()
	if c == nil || c.Version == s.servicesVersion {
		return
	}
	s.servicesVersion = c.Version
	for name := range c.Services {
		s.services[name] = true
	}
	for _, r := range c.Routes {
		for _, share := range r.Services {
			s.services[share.Service] = true
		}
	}
	for id, t := range s.unserved {
		if s.services[t.Service] {
			s.targets[id] = t
			delete(s.unserved, id)
			delete(s.invalid, id)
		}
	}
}

// rejectRecord logs that a record can't be used. It does so once for each faulty field: its writer may renew the record every second.
func (p *Process) rejectRecord(s *storeState, id string, fault error) {
	field := fault.Error()
	var e *site.RecordError
	if errors.As(fault, &e) {
		field = e.Field
	}
	if s.invalid[id] == field {
		return
	}
	s.invalid[id] = field
	p.metrics.invalidRecords.Add(1)
	p.Log.Warn("entry refused", "target", truncateName(id), "error", fault)
}

// maxLoggedName is the length in bytes from which the key of a record is cut in the log.
const maxLoggedName = 256

func truncateName(id string) string {
	if len(id) > maxLoggedName {
		return id[:maxLoggedName] + "…"
	}
	return id
}

// forgetRecords forgets the faults of records that a complete list no longer has.
func (s *storeState) forgetRecords(targets []site.TargetRecord, evacuations []site.Evacuation) {
	listed := make(map[string]bool, len(targets))
	for _, e := range targets {
		listed[e.ID] = true
	}
	for _, e := range evacuations {
		listed["evacuation "+e.Centre] = e.Fault != nil
	}
	maps.DeleteFunc(s.invalid, func(id, _ string) bool { return !listed[id] })
}

// list returns the usable targets in no particular order.
func (s *storeState) list() []site.Target {
	return slices.Collect(maps.Values(s.targets))
}
