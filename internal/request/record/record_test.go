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

func testBook() *Book {
	return NewBook(Options{Home: testHome, Incarnation: testIncarnation, Limit: testLimit})
}

func testKey(workspace string, number int, minted time.Time) string {
	return key.Key{
		Home: testHome, Incarnation: testIncarnation, Minted: minted, Random: uint64(number), Workspace: key.WorkspaceHash(workspace),
	}.String()
}

func TestJudge(t *testing.T) {
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
		{"other workspace", 0, opened, "council", 1, Foreign},
		{"own key of the caller", 0, "9f0c3a52-6f0e", "school", 1, Malformed},
		{"other home", 0, other.String(), "school", 1, Elsewhere},
		{"older process", 0, older.String(), "school", 1, Restarted},
		{"end of life", key.Lifetime + key.MaxClockSkew, opened, "school", 1, Known},
		{"expired", key.Lifetime + key.MaxClockSkew + 1, opened, "school", 1, Expired},
		{"slow clock", -key.MaxClockSkew, testKey("school", 3, testTime), "school", 1, Free},
		{"too slow clock", -key.MaxClockSkew - time.Millisecond, testKey("school", 3, testTime), "school", 1, Early},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := testBook()
			is.True(b.Open(opened, 1))
			b.Close(closed, 1)
			is.Equal(b.Judge(testTime.Add(test.after), test.text, test.workspace, test.fingerprint), test.want)
		})
	}
}

// A clock that steps back does not free the key of a record that was dropped.
func TestClockNeverFalls(t *testing.T) {
	is := is.New(t)
	b := testBook()
	text := testKey("school", 1, testTime)
	is.True(b.Open(text, 1))
	is.Equal(b.Expire(testTime.Add(key.Lifetime+key.MaxClockSkew+time.Second)), []string{text})
	is.Equal(b.Judge(testTime, text, "school", 1), Expired)
}

// A workspace that floods a home leaves room for others, and what finds no room is closed for good.
func TestFlood(t *testing.T) {
	is := is.New(t)
	b := testBook()
	var refused []string
	for i := range 10 * testLimit {
		text := testKey("school", i, testTime.Add(time.Duration(i)*time.Millisecond))
		if !b.Open(text, 1) {
			refused = append(refused, text)
		}
	}
	is.Equal(b.Size(), testLimit/2)
	is.Equal(len(refused), 10*testLimit-testLimit/2)
	for i := range testLimit / 10 {
		is.True(b.Open(testKey("council", i, testTime), 1))
	}
	b.Expire(testTime.Add(key.Lifetime + key.MaxClockSkew + 40*time.Millisecond))
	is.True(b.Size() < testLimit/2)
	for _, text := range refused {
		is.Equal(b.Judge(testTime.Add(key.Lifetime), text, "school", 1), Closed)
	}
	for i := range testLimit {
		b.Close(fmt.Sprint("no key ", i), 1)
	}
	is.True(b.Size() <= testLimit)
}
