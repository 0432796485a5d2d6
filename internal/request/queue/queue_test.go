package queue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(0, 0)

// fill pushes n items of a workspace.
func fill(q *Queue, workspace string, n, weight, priority int) {
	for i := range n {
		q.Push(Item{
			ID: fmt.Sprintf("%s%d", workspace, i), Workspace: workspace, Weight: weight, Priority: priority,
			ServiceTime: time.Second, Deadline: start.Add(time.Hour),
		})
	}
}

// popAll pops all items and returns their workspaces in order.
func popAll(q *Queue) (s string) {
	for v, ok := q.Pop(); ok; v, ok = q.Pop() {
		s += v.Workspace
	}
	return s
}

func TestOrder(t *testing.T) {
	tests := []struct {
		name string
		fill func(q *Queue)
		want string
	}{
		{"first in, first out in one workspace", func(q *Queue) { fill(q, "a", 3, 1, 0) }, "aaa"},
		{"a later workspace does not wait behind a flood", func(q *Queue) { fill(q, "a", 4, 1, 0); fill(q, "b", 2, 1, 0) }, "ababaa"},
		{"weights", func(q *Queue) { fill(q, "a", 3, 1, 0); fill(q, "b", 4, 2, 0) }, "abbabba"},
		{"priority first", func(q *Queue) { fill(q, "a", 2, 9, 0); fill(q, "c", 2, 1, 1) }, "ccaa"},
		{"a removed item costs its workspace nothing", func(q *Queue) {
			fill(q, "a", 3, 1, 0)
			fill(q, "b", 2, 1, 0)
			q.Remove("a0")
			q.Remove("a1")
		}, "abb"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := New()
			test.fill(q)
			is.Equal(popAll(q), test.want)
			is.Equal(len(q.classes), 0)
		})
	}
}

func TestNoCreditForIdleTime(t *testing.T) {
	is := is.New(t)
	q := New()
	fill(q, "a", 10, 1, 0)
	for range 6 {
		q.Pop()
	}
	fill(q, "b", 4, 1, 0)
	is.Equal(popAll(q), "babababa"[:8])
}

func TestShed(t *testing.T) {
	capacity := Capacity{Width: 2, Running: 2, QueueLimit: 4}
	tests := []struct {
		name  string
		items []Item
		want  []string
	}{
		{"in time", []Item{{ID: "a", ServiceTime: time.Second, Deadline: start.Add(2 * time.Second)}}, nil},
		{"too late", []Item{{ID: "a", ServiceTime: time.Second, Deadline: start.Add(time.Second)}}, []string{"a"}},
		{"the full margin counts for the last item", []Item{
			{ID: "a", ServiceTime: time.Second, Margin: time.Second, Deadline: start.Add(2500 * time.Millisecond)},
			{ID: "b", ServiceTime: time.Second, Margin: time.Second, Deadline: start.Add(2500 * time.Millisecond)},
		}, []string{"b"}},
		{"a higher priority displaces others", []Item{
			{ID: "a", ServiceTime: time.Second, Deadline: start.Add(1600 * time.Millisecond)},
			{ID: "b", Priority: 1, ServiceTime: time.Second, Deadline: start.Add(2 * time.Second)},
		}, []string{"a"}},
		{"the limit drops the longest queue's last", []Item{
			{ID: "a", Workspace: "x"}, {ID: "b", Workspace: "x"}, {ID: "c", Workspace: "x"}, {ID: "d", Workspace: "x"}, {ID: "e", Workspace: "y"},
		}, []string{"d"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			q := New()
			var got []string
			for _, v := range test.items {
				if v.Deadline.IsZero() {
					v.Deadline = start.Add(time.Hour)
				}
				q.Push(v)
				for _, dropped := range q.Shed(start, capacity) {
					got = append(got, dropped.ID)
				}
			}
			is.True(slices.Equal(got, test.want))
		})
	}
}

func TestEstimate(t *testing.T) {
	is := is.New(t)
	e := &Estimate{}
	is.Equal(e.ServiceTime(), time.Duration(0))
	for range 100 {
		e.Observe(time.Second)
	}
	is.Equal(e.ServiceTime(), time.Second)
	is.True(e.Margin() < time.Millisecond)
}
