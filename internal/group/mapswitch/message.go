// Package mapswitch switches all ranks of a group from one expert map to another at the same step.
package mapswitch

import (
	"cmp"
	"fmt"
)

// Kind is the type of a message.
type Kind string

// The types of messages.
const (
	// KindPrepare asks a rank to load a new map in addition to the one in use.
	KindPrepare Kind = "prepare"
	// KindPrepared tells the leader that the new map is loaded.
	KindPrepared Kind = "prepared"
	// KindArm asks a rank to hold at a step until the ballot is decided.
	KindArm Kind = "arm"
	// KindArmed states that the sender armed the ballot.
	KindArmed Kind = "armed"
	// KindRefuse states that the sender has not armed the ballot and never will.
	KindRefuse Kind = "refuse"
	// KindCommit states that every rank armed the ballot.
	KindCommit Kind = "commit"
	// KindAbort states that some rank never arms the ballot.
	KindAbort Kind = "abort"
	// KindAsk asks a rank for the status of the ballot.
	KindAsk Kind = "ask"
	// KindCompare asks a rank for its map in use.
	KindCompare Kind = "compare"
	// KindMapInUse states the sender's map in use.
	KindMapInUse Kind = "use"
	// KindReport sends the expert loads of a rank to the leader.
	KindReport Kind = "report"
	// KindAlive acknowledges a report.
	KindAlive Kind = "alive"
)

// Ballot identifies one attempt to switch. The zero Ballot is below all others.
type Ballot struct {
	// Attempt counts from one; a leader chooses a number above all that it has seen.
	Attempt uint64 `json:"attempt"`
	// LeaderRank is the rank of the leader.
	LeaderRank int `json:"lead"`
	// LeaderIncarnation is the incarnation of the leader's slot, so that a restarted leader never reuses a ballot.
	LeaderIncarnation uint64 `json:"token"`
}

// Compare orders ballots; a higher one supersedes a lower one.
func (b Ballot) Compare(c Ballot) int {
	return cmp.Or(cmp.Compare(b.Attempt, c.Attempt), cmp.Compare(b.LeaderRank, c.LeaderRank), cmp.Compare(b.LeaderIncarnation, c.LeaderIncarnation))
}

// String returns the form of the ballot used in logs.
func (b Ballot) String() string {
	return fmt.Sprintf("%d.%d.%x", b.Attempt, b.LeaderRank, b.LeaderIncarnation)
}

// Message is a message between two ranks of a group.
type Message struct {
	// Group is the name of the group.
	Group string
	// Kind is the type of the message.
	Kind Kind
	// Attempt, Lead (a rank) and Token (an incarnation) form the ballot.
	Attempt uint64
	Lead    int
	Token   uint64
	// Rank is the sender's rank.
	Rank int
	// Sender is the incarnation of the sender's slot.
	Sender uint64
	// Receiver is the incarnation of the slot that the message is addressed to; it is set in KindArm and KindMapInUse.
	Receiver uint64
	// Step is the first step with the new map; in KindPrepared it is the sender's latest step. In KindCompare it is not
	// a step but the sender's latest decided attempt, which the KindMapInUse message echoes.
	Step uint64
	// Map identifies the new map, or the map in use in KindMapInUse.
	Map uint64
	// Plan is the encoded new map; it is set in KindPrepare.
	Plan []byte
	// Loads is the number of tokens for each expert since the last report; it is set in KindReport.
	Loads []uint64
	// Latency is the sender's own share of a step's time in nanoseconds; it is set in KindReport.
	Latency uint64
	// Reason is a short text for operators.
	Reason string
}

// Ballot returns the ballot that the message concerns.
func (m *Message) Ballot() Ballot {
	return Ballot{Attempt: m.Attempt, LeaderRank: m.Lead, LeaderIncarnation: m.Token}
}
