// Package memory keeps the account of the bytes that an entry buffers for its callers.
package memory

const (
	// freeFactor is the number of bytes that a workspace may hold for each free byte of the account. A single workspace then gets two
	// thirds of it, two get two fifths each, and there is always room for one that has nothing yet.
	freeFactor = 2
	// largeFactor is that number for what only large requests and answers need, so that a few of them leave room for many small ones of
	// the same workspace.
	largeFactor = 1
)

// Account bounds the bytes that are held for all requests together and shares them between the workspaces. A Hold belongs to one
// request. An Account is not safe for concurrent use; neither are its holds.
//
// The load that it answers: thousands of callers that read or send slowly, whose bodies and answers would fill the memory of an entry
// and end it, with the requests of all others.
type Account struct {
	// limit is the largest number of bytes; zero if there is none.
	limit, used int64
	// workspaces holds the bytes of each workspace that has any.
	workspaces map[string]int64
}

// New returns an Account with a limit in bytes; zero means that nothing is refused.
func New(limit int64) *Account {
	return &Account{limit: limit, workspaces: map[string]int64{}}
}

// Used returns the bytes that are held.
func (a *Account) Used() int64 {
	return a.used
}

// Hold returns a Hold of no bytes for a request of a workspace.
func (a *Account) Hold(workspace string) *Hold {
	return &Hold{account: a, workspace: workspace}
}

// fits reports whether a workspace may hold more bytes, by a number of bytes for each free one.
func (a *Account) fits(workspace string, more, factor int64) bool {
	if a.limit <= 0 {
		return true
	}
	// Both sides are as they would be afterwards, so a workspace never exceeds its part.
	return a.workspaces[workspace]+more <= factor*(a.limit-a.used-more)
}

// Hold holds the bytes of one request.
type Hold struct {
	account   *Account
	workspace string
	bytes     int64
}

// Workspace returns the workspace of the request.
func (h *Hold) Workspace() string {
	return h.workspace
}

// Bytes returns the bytes that are held.
func (h *Hold) Bytes() int64 {
	return h.bytes
}

// Add holds more bytes, which each request needs, and reports whether there was room for them; if not, nothing has changed.
func (h *Hold) Add(more int64) bool {
	return h.set(h.bytes+more, freeFactor)
}

// Set changes the bytes that are held to what a large request or answer needs, and reports whether there was room for them; if not,
// nothing has changed. There is always room for fewer.
func (h *Hold) Set(bytes int64) bool {
	return h.set(bytes, largeFactor)
}

func (h *Hold) set(bytes, factor int64) bool {
	more := bytes - h.bytes
	if more > 0 && !h.account.fits(h.workspace, more, factor) {
		return false
	}
	h.bytes = bytes
	h.account.used += more
	h.account.workspaces[h.workspace] += more
	if h.account.workspaces[h.workspace] <= 0 {
		delete(h.account.workspaces, h.workspace)
	}
	return true
}

// Release holds nothing any more.
func (h *Hold) Release() {
	h.Set(0)
}
