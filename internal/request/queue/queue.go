// Package queue orders the requests that wait for a target: by priority, then fairly by workspace.
package queue

import (
	"cmp"
	"slices"
	"time"
)

// Item is a waiting request.
type Item struct {
	// ID is unique in the queue.
	ID string
	// Workspace shares the target with the other workspaces of its priority.
	Workspace string
	// Weight is the workspace's share relative to others; it is above zero.
	Weight int
	// Priority orders items before all else; higher goes first.
	Priority int
	// Service is the expected time at the target.
	Service time.Duration
	// Margin is added to Service when the item is to be accepted.
	Margin time.Duration
	// Deadline is the end of the caller's wait.
	Deadline time.Time

	// start is the virtual time at which the item's workspace has a right to the target.
	start float64
	// sequence rises with each push.
	sequence uint64
}

// class holds the virtual times of one priority.
type class struct {
	// clock is the start of the item that was taken last; it never falls while an item waits.
	clock float64
	// finish is the virtual end of each workspace's newest item; it holds waiting
	// workspaces and those whose finish is above clock.
	finish map[string]float64
}

// Queue is a weighted fair queue with priorities. It is not safe for concurrent use.
type Queue struct {
	// items are in the order of service.
	items []*Item
	// classes holds the priorities of waiting items.
	classes map[int]*class
	// sequence is that of the newest item.
	sequence uint64
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{classes: map[int]*class{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return len(q.items)
}

// Push adds an item at its place.
func (q *Queue) Push(v Item) {
	c := q.classes[v.Priority]
	if c == nil {
		c = &class{finish: map[string]float64{}}
		q.classes[v.Priority] = c
	}
	q.sequence++
	v.sequence = q.sequence
	v.start = max(c.clock, c.finish[v.Workspace])
	c.finish[v.Workspace] = v.start + 1/float64(max(v.Weight, 1))
	at, _ := slices.BinarySearchFunc(q.items, &v, compare)
	q.items = slices.Insert(q.items, at, &v)
}

func compare(x, y *Item) int {
	return cmp.Or(
		cmp.Compare(y.Priority, x.Priority),
		cmp.Compare(x.start, y.start),
		cmp.Compare(x.sequence, y.sequence),
	)
}

// Peek returns the next item.
func (q *Queue) Peek() (v Item, ok bool) {
	if len(q.items) == 0 {
		return Item{}, false
	}
	return *q.items[0], true
}

// Pop takes the next item out.
func (q *Queue) Pop() (v Item, ok bool) {
	v, ok = q.Peek()
	if !ok {
		return v, false
	}
	q.items = q.items[1:]
	c := q.classes[v.Priority]
	c.clock = max(c.clock, v.start)
	q.tidy(v.Priority)
	return v, true
}

// Remove takes an item out wherever it is.
func (q *Queue) Remove(id string) {
	at := slices.IndexFunc(q.items, func(v *Item) bool { return v.ID == id })
	if at < 0 {
		return
	}
	q.remove(at)
}

// remove gives the virtual time of a dropped item back to its workspace.
func (q *Queue) remove(at int) {
	v := q.items[at]
	q.items = slices.Delete(q.items, at, at+1)
	share := 1 / float64(max(v.Weight, 1))
	q.classes[v.Priority].finish[v.Workspace] -= share
	for _, w := range q.items {
		if w.Priority == v.Priority && w.Workspace == v.Workspace && w.start > v.start {
			w.start -= share
		}
	}
	slices.SortFunc(q.items, compare)
	q.tidy(v.Priority)
}

// tidy drops the virtual times that no longer matter.
func (q *Queue) tidy(priority int) {
	c := q.classes[priority]
	waiting := slices.ContainsFunc(q.items, func(v *Item) bool { return v.Priority == priority })
	if !waiting {
		delete(q.classes, priority)
		return
	}
	for workspace, finish := range c.finish {
		if finish <= c.clock {
			delete(c.finish, workspace)
		}
	}
}
