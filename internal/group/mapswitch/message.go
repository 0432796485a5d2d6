// Package mapswitch moves all ranks of a group from one expert map to the next at the same step.
package mapswitch

import (
	"cmp"
	"fmt"
)

// Kind names a message of the switch.
type Kind string

// The messages of the switch.
const (
	// KindPrepare asks a rank to load a new map beside the old one.
	KindPrepare Kind = "prepare"
	// KindPrepared tells the lead that the new map is loaded.
	KindPrepared Kind = "prepared"
	// KindArm asks a rank to hold at a step until the ballot is decided.
	KindArm Kind = "arm"
	// KindArmed states that a rank armed the ballot.
	KindArmed Kind = "armed"
	// KindRefuse states that a rank has not armed the ballot and never will.
	KindRefuse Kind = "refuse"
	// KindCommit states that every rank armed the ballot.
	KindCommit Kind = "commit"
	// KindAbort states that some rank never arms the ballot.
	KindAbort Kind = "abort"
	// KindAsk asks a rank for what it knows of the ballot.
	KindAsk Kind = "ask"
	// KindCompare asks a rank for the map that it uses.
	KindCompare Kind = "compare"
	// KindUse states the map that a rank uses.
	KindUse Kind = "use"
	// KindReport carries the expert loads that a rank saw to the lead.
	KindReport Kind = "report"
	// KindAlive answers a report.
	KindAlive Kind = "alive"
)

// Ballot identifies one attempt to switch. The zero Ballot is below all others.
type Ballot struct {
	// Attempt counts from one; a lead chooses one above all that it has seen.
	Attempt uint64 `json:"attempt"`
	// LeaderRank is the rank of the lead.
	LeaderRank int `json:"lead"`
	// LeaderIncarnation is the incarnation of the lead's slot, so that a restarted lead never reuses a ballot.
	LeaderIncarnation uint64 `json:"token"`
}

// Compare orders ballots; a higher one supersedes a lower one.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Attempt, c.Attempt), cmp.Compare(b.LeaderRank, c.LeaderRank), cmp.Compare(b.LeaderIncarnation, c.LeaderIncarnation))
}

// String returns the ballot as it is written in logs.
func (b Ballot) String() string {
	return fmt.Sprintf("%d.%d.%x", b.Attempt, b.LeaderRank, b.LeaderIncarnation)
}

// Message is one message of the switch between two ranks of a group.
type Message struct {
	// Group is the name of the group.
	Group string
	// Kind names the message.
	Kind Kind
	// Attempt, Lead and Token form the ballot.
	Attempt uint64
	Lead    int
	Token   uint64
	// Rank is the sender's.
	Rank int
	// Sender is the incarnation of the sending slot.
	Sender uint64
	// Receiver is the incarnation that an arm or use message is meant for.
	Receiver uint64
	// Step is the first step that uses the new map; in prepared messages it is the sender's step.
	Step uint64
	// Map identifies the new map; in use messages it is the map in use.
	Map uint64
	// Plan is the encoded new map; it is set in prepare messages.
	Plan []byte
	// Loads are tokens for each expert since the last report; they are set in report messages.
	Loads []uint64
	// Latency is the sender's own part of a step in nanoseconds; it is set in report messages.
	Latency uint64
	// Reason is a short text for people.
	Reason string
}

// Ballot returns the ballot that the message is about.
func (m *Message) Ballot() Ballot {
	return Ballot{Attempt: m.Attempt, LeaderRank: m.Lead, LeaderIncarnation: m.Token}
}
