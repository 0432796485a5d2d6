package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestVerdict(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name    string
		records []Verdict
		after   time.Duration
		want    Verdict
	}{
		{"nothing recorded", nil, 0, Unknown},
		{"suspected", []Verdict{Suspected}, 0, Suspected},
		{"cleared", []Verdict{Suspected, Cleared}, 0, Cleared},
		{"cleared without suspicion", []Verdict{Cleared}, 0, Unknown},
		{"suspected again", []Verdict{Suspected, Cleared, Suspected}, 0, Suspected},
		{"convicted stays", []Verdict{Suspected, Convicted, Cleared, Suspected}, 0, Convicted},
		{"expired", []Verdict{Convicted}, VerdictLifetime, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker()
			for i, v := range test.records {
				tracker.Record(start.Add(time.Duration(i)*time.Second), 1, v)
			}
			is.Equal(tracker.Verdict(start.Add(test.after+time.Duration(max(len(test.records)-1, 0))*time.Second), 1), test.want)
		})
	}
}

func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	now := time.Unix(0, 0)
	tracker.Record(now, 0, Convicted)
	for i := range uint64(2 * maxFingerprints) {
		tracker.Record(now.Add(time.Duration(i)), i, Suspected)
	}
	is.Equal(len(tracker.verdicts), maxFingerprints)
	is.Equal(tracker.Verdict(now, 0), Convicted)
	r := tracker.Report(now.Add(time.Minute))
	is.Equal(len(r.Suspected), maxReported)
	is.Equal(r.Suspected[0], uint64(2*maxFingerprints-1))
}

func TestMergeRecordsOnlyNewVerdicts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	tracker := NewTracker()
	suspected := Report{Suspected: []uint64{1}}
	tracker.Merge(now, Report{}, suspected)
	is.Equal(tracker.Verdict(now, 1), Suspected)
	tracker.Merge(now, Report{}, Report{Suspected: []uint64{1}, Cleared: []uint64{1}})
	is.Equal(tracker.Verdict(now, 1), Cleared)
	tracker.Merge(now, suspected, suspected)
	is.Equal(tracker.Verdict(now, 1), Cleared)
}
