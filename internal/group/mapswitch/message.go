// Package mapswitch moves all ranks of a group from one expert map to the next at the same step.
package mapswitch

// Kind names a message of the switch.
type Kind string

// Message is one message of the switch between two ranks of a group.
type Message struct {
	// Group is the name of the group.
	Group string
	// Kind names the message.
	Kind Kind
	// Attempt and Lead form the ballot; a higher one supersedes a lower one.
	Attempt uint64
	Lead    int
	// Rank is the sender's.
	Rank int
	// Step is the first step that uses the new map.
	Step uint64
	// Map identifies the new map.
	Map uint64
	// Plan is the encoded new map; it is set in prepare messages.
	Plan []byte
	// Reason is a short text for people.
	Reason string
}
