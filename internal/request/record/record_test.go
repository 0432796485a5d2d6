package record

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/request/key"
)

const (
	testHome        = "hold-1"
	testIncarnation = 7
	testLimit       = 100
)

var testTime = time.Unix(1_700_000_000, 0)

func newTestStore() *Store {
	return NewStore(Options{Home: testHome, Incarnation: testIncarnation, Limit: testLimit})
}

func testKey(workspace string, number int, minted time.Time) string {
	return key.Key{
		Home: testHome, Incarnation: testIncarnation, Minted: minted, Random: uint64(number), Workspace: key.WorkspaceHash(workspace),
	}.String()
}

func TestCheck(t *testing.T) {
	other := key.Key{Home: "hold-2", Incarnation: testIncarnation, Minted: testTime, Workspace: key.WorkspaceHash("school")}
	older := key.Key{Home: testHome, Incarnation: 6, Minted: testTime, Workspace: key.WorkspaceHash("school")}
	opened, closed := testKey("school", 1, testTime), testKey("school", 2, testTime)
	tests := []struct {
		name        string
		after       time.Duration
		text        string
		workspace   string
		fingerprint uint64
		want        Verdict
	}{
		{"fresh", 0, testKey("school", 3, testTime), "school", 1, Free},
		{"opened", 0, opened, "school", 1, Known},
		{"closed", 0, closed, "school", 1, Closed},
		{"other body", 0, opened, "school", 2, Mismatch},
		{"other workspace", 0, opened, "council", 1, OtherWorkspace},
		{"own key of the caller", 0, "9f0c3a52-6f0e", "school", 1, Malformed},
		{"other home", 0, other.String(), "school", 1, OtherHome},
		{"older process", 0, older.String(), "school", 1, Restarted},
		{"end of life", key.Lifetime + key.MaxClockSkew, opened, "school", 1, Known},
		{"expired", key.Lifetime + key.MaxClockSkew + 1, opened, "school", 1, Expired},
		{"slow clock", -key.MaxClockSkew, testKey("school", 3, testTime), "school", 1, Free},
		{"too slow clock", -key.MaxClockSkew - time.Millisecond, testKey("school", 3, testTime), "school", 1, FromFuture},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestStore()
			is.True(s.Open(opened, 1))
			s.Close(closed, 1)
			is.Equal(s.Check(testTime.Add(test.after), test.text, test.workspace, test.fingerprint), test.want)
		})
	}
}

// A clock that goes back does not free the key of a dropped record.
func TestClockNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	text := testKey("school", 1, testTime)
	is.True(s.Open(text, 1))
	is.Equal(s.Expire(testTime.Add(key.Lifetime+key.MaxClockSkew+time.Second)), []string{text})
	is.Equal(s.Check(testTime, text, "school", 1), Expired)
}

// A workspace that floods a home leaves room for others, and its keys that find no room are closed for good.
func TestFlood(t *testing.T) {
	is := is.New(t)
	s := newTestStore()
	var refused []string
	for i := range 10 * testLimit {
		text := testKey("school", i, testTime.Add(time.Duration(i)*time.Millisecond))
		if !s.Open(text, 1) {
			refused = append(refused, text)
		}
	}
	is.Equal(s.Size(), testLimit/2)
	is.Equal(len(refused), 10*testLimit-testLimit/2)
	for i := range testLimit / 10 {
		is.True(s.Open(testKey("council", i, testTime), 1))
	}
	s.Expire(testTime.Add(key.Lifetime + key.MaxClockSkew + 40*time.Millisecond))
	is.True(s.Size() < testLimit/2)
	for _, text := range refused {
		is.Equal(s.Check(testTime.Add(key.Lifetime), text, "school", 1), Closed)
	}
	for i := range testLimit {
		s.Close(fmt.Sprint("no key ", i), 1)
	}
	is.True(s.Size() <= testLimit)
}
