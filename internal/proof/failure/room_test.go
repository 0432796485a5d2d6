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

// errAlreadyHeld is returned to a test that would wait for capacity that it or one of its parent tests holds.
var errAlreadyHeld = errors.New("the test or its parent already runs a site: start each site in a separate subtest")

// processLimiter limits the processes that parallel tests run at once.
type processLimiter struct {
	sem      *semaphore.Weighted
	capacity int64

	mu sync.Mutex
	// holders are the names of the tests that hold capacity or wait for it; guarded by mu.
	holders map[string]bool
}

func newProcessLimiter(capacity int64) *processLimiter {
	return &processLimiter{sem: semaphore.NewWeighted(capacity), capacity: capacity, holders: map[string]bool{}}
}

// holder is the part of testing.T that acquire needs.
type holder interface {
	Name() string
	Context() context.Context
	Cleanup(func())
}

// acquire reserves capacity for a number of processes until the end of the test.
func (m *processLimiter) acquire(t holder, processes int) error {
	if !m.addHolder(t.Name()) {
		return errAlreadyHeld
	}
	weight := min(int64(processes), m.capacity)
	if err := m.sem.Acquire(t.Context(), weight); err != nil {
		m.removeHolder(t.Name())
		return err
	}
	t.Cleanup(func() {
		m.sem.Release(weight)
		m.removeHolder(t.Name())
	})
	return nil
}

// addHolder records a holder. It reports false if the test or one of its parents is one already.
func (m *processLimiter) addHolder(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.holders {
		if name == other || strings.HasPrefix(name, other+"/") {
			return false
		}
	}
	m.holders[name] = true
	return true
}

func (m *processLimiter) removeHolder(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.holders, name)
}

// fakeTest is a test under another name whose cleanup runs with the real test's.
type fakeTest struct {
	*testing.T
	name string
}

func (f fakeTest) Name() string { return f.name }

func TestLimiterRefusesNestedAcquire(t *testing.T) {
	tests := []struct {
		name, first, second string
		err                 error
	}{
		{"same test", "TestA", "TestA", errAlreadyHeld},
		{"subtest of the holder", "TestA", "TestA/b", errAlreadyHeld},
		{"test with a longer name", "TestA", "TestAB", nil},
		{"sibling", "TestA/b", "TestA/c", nil},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			m := newProcessLimiter(3)
			is.NoErr(m.acquire(fakeTest{t, v.first}, 1))
			is.Equal(m.acquire(fakeTest{t, v.second}, 1), v.err)
		})
	}
}
