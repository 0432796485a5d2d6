// Package seat limits the streams of a group of engines and decides which requests get a seat under overload.
//
// Estimator says how many seats there are. Queue orders the requests that ask for one: queue.go decides who is admitted, waits or is
// refused, fairness.go keeps the accounts of workspaces, room.go the part of the seats that this entry may use, pace.go how fast
// seats become free, and returns.go when refused callers are told to return. The orders that were weighed are in docs/DESIGN.md,
// "Order of waiting requests".
package seat
