package failure

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/semaphore"
)

// errHeld is returned to a test that would wait for places that it, or the test that it is part of, holds itself.
var errHeld = errors.New("the test holds places already: start each site in a subtest of its own")

// machine limits the processes that parallel tests run together.
type machine struct {
	places   *semaphore.Weighted
	capacity int64

	mu sync.Mutex
	// holders are the names of the tests that hold places or wait for them; guarded by mu.
	holders map[string]bool
}

func newRoom(capacity int64) *machine {
	return &machine{places: semaphore.NewWeighted(capacity), capacity: capacity, holders: map[string]bool{}}
}

// holder is the part of testing.T that occupy needs.
type holder interface {
	Name() string
	Context() context.Context
	Cleanup(func())
}

// occupy takes places for a number of processes until the end of the test.
func (m *machine) occupy(t holder, processes int) error {
	if !m.enter(t.Name()) {
		return errHeld
	}
	weight := min(int64(processes), m.capacity)
	if err := m.places.Acquire(t.Context(), weight); err != nil {
		m.leave(t.Name())
		return err
	}
	t.Cleanup(func() {
		m.places.Release(weight)
		m.leave(t.Name())
	})
	return nil
}

// enter notes a holder and reports whether neither it nor a test around it holds places.
func (m *machine) enter(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for held := range m.holders {
		if name == held || strings.HasPrefix(name, held+"/") {
			return false
		}
	}
	m.holders[name] = true
	return true
}

func (m *machine) leave(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.holders, name)
}

// fakeTest is a test that ends when the real one says so.
type fakeTest struct {
	*testing.T
	name string
}

func (f fakeTest) Name() string { return f.name }

func TestRoomNeverWaitsForItsOwnHolder(t *testing.T) {
	tests := []struct {
		name, first, second string
		err                 error
	}{
		{"same test", "TestA", "TestA", errHeld},
		{"subtest of the holder", "TestA", "TestA/b", errHeld},
		{"test with a longer name", "TestA", "TestAB", nil},
		{"sibling", "TestA/b", "TestA/c", nil},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := newRoom(3)
			is.NoErr(m.occupy(fakeTest{t, v.first}, 1))
			is.Equal(m.occupy(fakeTest{t, v.second}, 1), v.err)
		})
	}
}
