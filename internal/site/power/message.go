// Package power divides a site's power cap into shares that slots lend to one another.
package power

import "time"

// Kind names a message of power lending.
type Kind string

// The kinds of messages.
const (
	// KindAsk asks for a loan, or for a longer term of one that is held.
	KindAsk Kind = "ask"
	// KindGrant lends, or extends the term of a loan.
	KindGrant Kind = "grant"
	// KindDeny refuses to lend; Watts is what could be lent.
	KindDeny Kind = "deny"
	// KindRecall asks for a loan back.
	KindRecall Kind = "recall"
	// KindReturn gives a loan back; the borrower draws nothing under it any more.
	KindReturn Kind = "return"
	// KindSettled acknowledges a return.
	KindSettled Kind = "settled"
	// KindHello is sent by a restarted slot to learn what it had lent.
	KindHello Kind = "hello"
	// KindAccount answers a hello: Watts is all that is held from the receiver, Term for how long at most.
	KindAccount Kind = "account"
)

// Message is one message of power lending between two slots of a site.
type Message struct {
	// Kind names the message.
	Kind Kind
	// ID identifies the loan; it is unique for an incarnation of its borrower.
	ID uint64
	// Sequence counts the asks of one loan; a grant repeats that of its ask.
	Sequence uint64
	// Watts is the size of the loan.
	Watts int64
	// Term is how long the borrower may start work under the loan, counted from its ask.
	Term time.Duration
	// Work is the longest time that work started under the loan may last.
	Work time.Duration
	// Priority is that of the borrower's waiting work; higher goes first.
	Priority int
}

// Send is a message to a peer.
type Send struct {
	// Peer is the name of the receiving target.
	Peer string
	// Message is complete.
	Message Message
}
