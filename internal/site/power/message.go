// Package power divides the power cap of a site among its targets and lends unused shares between their slots.
package power

import "time"

// Kind names a message of power lending.
type Kind string

// The kinds of messages.
const (
	// KindAsk requests a loan or the renewal of a held one.
	KindAsk Kind = "ask"
	// KindGrant grants a loan or a renewal.
	KindGrant Kind = "grant"
	// KindDeny refuses a loan; Watts is the power that could be lent.
	KindDeny Kind = "deny"
	// KindRecall asks the borrower to return a loan.
	KindRecall Kind = "recall"
	// KindReturn returns a loan; the borrower no longer draws power under it.
	KindReturn Kind = "return"
	// KindSettled acknowledges a return.
	KindSettled Kind = "settled"
	// KindHello is sent by a restarted slot to ask what it lent before.
	KindHello Kind = "hello"
	// KindAccount answers a hello: Watts is the total borrowed from the receiver, Term the longest time it may be drawn.
	KindAccount Kind = "account"
)

// Message is sent between two slots of a site to lend power.
type Message struct {
	Kind Kind
	// ID identifies the loan; it is unique within an incarnation of the borrower.
	ID uint64
	// Sequence counts the asks for one loan; a grant carries the number of the ask it answers.
	Sequence uint64
	// Watts is the size of the loan.
	Watts int64
	// Term is how long the borrower may start work under the loan, counted from its ask.
	Term time.Duration
	// Work is the longest time that work started under the loan may last.
	Work time.Duration
	// Priority is the priority of the borrower's queued requests; a higher value goes first.
	Priority int
}

// Send is a message to a peer.
type Send struct {
	// Peer is the name of the receiving target.
	Peer    string
	Message Message
}
