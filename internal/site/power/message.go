// Package power divides a site's power cap into shares that slots lend to one another.
package power

import "time"

// Kind names a message of power lending.
type Kind string

// Message is one message of power lending between two slots of a site.
type Message struct {
	// Kind names the message.
	Kind Kind
	// ID identifies the loan; it is unique for its lender.
	ID uint64
	// Watts is the size of the loan.
	Watts int64
	// Term is how long the borrower may use the loan, counted from when it asked.
	Term time.Duration
	// Priority is that of the borrower's waiting work; higher goes first.
	Priority int
}
