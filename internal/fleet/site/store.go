package site

import "time"

// Changes are the changes in the store after a revision, in order.
type Changes struct {
	// Configuration is the latest configuration among the changes, or nil.
	Configuration *Configuration
	// Targets are the changed records of targets; an ID may occur more than once.
	Targets []TargetRecord
	// Revision is the store's revision to continue from; it is zero if nothing changed.
	Revision int64
}

// TargetRecord is the record of a target in the store.
type TargetRecord struct {
	// ID is the ID of the target.
	ID string
	// Target is nil if the record was removed or is not valid.
	Target *Target
	// Fault says why the record is not valid; it is nil for a removed one.
	Fault error
	// Revision is the store's revision of the record's latest change.
	Revision int64
	// ColdLeft is how much longer the target is cold, as of the time at which it wrote the record.
	ColdLeft time.Duration
}
