package site

import "time"

// Changes are the changes in the store after a revision, in order.
type Changes struct {
	// Configuration is the latest configuration among the changes, or nil.
	Configuration *Configuration
	// Targets are the changed records of targets; an ID may occur more than once.
	Targets []TargetRecord
	// Evacuations are the changed keys of evacuated data centres; a data centre may occur more than once.
	Evacuations []Evacuation
	// Revision is the store's revision to continue from; it is zero if nothing changed.
	Revision int64
	// AsOf is the store's revision at its answer; it is zero if the store does not state it.
	AsOf int64
}

// Evacuation is a key of the store that evacuates a data centre while it exists.
type Evacuation struct {
	// Centre is the name of the data centre.
	Centre string
	// Ended is set if the key was removed.
	Ended bool
	// Fault says why the key names no data centre.
	Fault error
}

// RecordError says why a record that anybody may write can't be used.
type RecordError struct {
	// Field is the first faulty field.
	Field string
	// Problem has a bounded length, whatever the record holds.
	Problem string
}

// Error implements the error interface.
func (e *RecordError) Error() string {
	return e.Field + ": " + e.Problem
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
