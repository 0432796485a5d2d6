// Package queue orders the requests that wait for a target by priority, then by weighted fair queueing of workspaces.
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
	// Weight is the workspace's share relative to the others; it is above zero.
	Weight int
	// Priority orders items before all else; higher goes first.
	Priority int
	// ServiceTime is the expected service time at the target.
	ServiceTime time.Duration
	// Margin is added to ServiceTime: half of it for waiting items, and all of it for the last one pushed.
	Margin time.Duration
	// Deadline is the caller's deadline.
	Deadline time.Time

	// virtualStart is the virtual time at which the item's service starts.
	virtualStart float64
	// sequence rises with each push.
	sequence uint64
}

// class holds the virtual clock of one priority.
type class struct {
	// virtualTime is the virtual start of the last popped item; it never decreases while an item waits.
	virtualTime float64
	// virtualFinish is the virtual end of each workspace's last item. It holds the waiting workspaces
	// and those whose end is after virtualTime.
	virtualFinish map[string]float64
}

// Queue is a weighted fair queue with priorities. It is not safe for concurrent use.
type Queue struct {
	// items are in the order of service.
	items []*Item
	// classes holds the priorities of waiting items.
	classes map[int]*class
	// sequence is the number of the last item pushed.
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

// Push adds an item in the order of service.
func (q *Queue) Push(v Item) {
	c := q.classes[v.Priority]
	if c == nil {
		c = &class{virtualFinish: map[string]float64{}}
		q.classes[v.Priority] = c
	}
	q.sequence++
	v.sequence = q.sequence
	v.virtualStart = max(c.virtualTime, c.virtualFinish[v.Workspace])
	c.virtualFinish[v.Workspace] = v.virtualStart + 1/float64(max(v.Weight, 1))
	at, _ := slices.BinarySearchFunc(q.items, &v, compare)
	q.items = slices.Insert(q.items, at, &v)
}

func compare(x, y *Item) int {
	return cmp.Or(
		cmp.Compare(y.Priority, x.Priority),
		cmp.Compare(x.virtualStart, y.virtualStart),
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

// Pop removes and returns the next item.
func (q *Queue) Pop() (v Item, ok bool) {
	v, ok = q.Peek()
	if !ok {
		return v, false
	}
	q.items = q.items[1:]
	c := q.classes[v.Priority]
	c.virtualTime = max(c.virtualTime, v.virtualStart)
	q.pruneClass(v.Priority)
	return v, true
}

// Remove removes an item by its ID.
func (q *Queue) Remove(id string) {
	at := slices.IndexFunc(q.items, func(v *Item) bool { return v.ID == id })
	if at < 0 {
		return
	}
	q.removeAt(at)
}

// Limit bounds the deadlines of the waiting items and returns the IDs of those that it has changed.
func (q *Queue) Limit(deadline time.Time) (changed []string) {
	for _, v := range q.items {
		if v.Deadline.After(deadline) {
			v.Deadline = deadline
			changed = append(changed, v.ID)
		}
	}
	return changed
}

// removeAt removes an item and gives its virtual time back to its workspace.
func (q *Queue) removeAt(at int) {
	v := q.items[at]
	q.items = slices.Delete(q.items, at, at+1)
	share := 1 / float64(max(v.Weight, 1))
	q.classes[v.Priority].virtualFinish[v.Workspace] -= share
	for _, w := range q.items {
		if w.Priority == v.Priority && w.Workspace == v.Workspace && w.virtualStart > v.virtualStart {
			w.virtualStart -= share
		}
	}
	slices.SortFunc(q.items, compare)
	q.pruneClass(v.Priority)
}

// pruneClass drops the virtual times that no longer affect the order.
func (q *Queue) pruneClass(priority int) {
	c := q.classes[priority]
	waiting := slices.ContainsFunc(q.items, func(v *Item) bool { return v.Priority == priority })
	if !waiting {
		delete(q.classes, priority)
		return
	}
	for workspace, finish := range c.virtualFinish {
		if finish <= c.virtualTime {
			delete(c.virtualFinish, workspace)
		}
	}
}
