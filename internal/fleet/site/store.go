package site

// Changes are what the store reports after a revision, in order.
type Changes struct {
	// Configuration is the newest one among the changes, or nil.
	Configuration *Configuration
	// Targets are the changed entries of targets; an ID may come more than once.
	Targets []TargetRecord
	// Revision is that of the store, from which to go on; it is zero without a change.
	Revision int64
}

// TargetRecord is a target's entry in the store.
type TargetRecord struct {
	// ID is the target's.
	ID string
	// Target is nil where the entry was removed, or names no target that can be used.
	Target *Target
	// Fault says why an entry names no target; it is nil for one that was removed.
	Fault error
}
