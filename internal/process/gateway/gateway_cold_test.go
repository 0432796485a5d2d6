package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/site"
)

// TestColdTimeCountsFromTheFirstRead checks that a record which is read again does not make its target cold for longer, and that one
// that was renewed does.
func TestColdTimeCountsFromTheFirstRead(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	now := start
	p := &Process{Options: Options{Now: func() time.Time { return now }}}
	p.settings.Store(&site.Settings{Cold: site.ColdBound{Over: 1.5, Slack: 5}})
	p.configuration.Store(&site.Configuration{Services: map[string]*site.Service{"holds": {Name: "holds", Cold: site.Cold{Time: 3 * time.Second, Rate: 15}}}})
	s := &storeState{colds: map[string]coldRecord{}}
	for _, v := range []struct {
		after    time.Duration
		revision int64
		left     time.Duration
		service  string
		want     time.Time
	}{
		{0, 1, 3 * time.Second, "holds", start.Add(3 * time.Second)},
		{time.Second, 1, 3 * time.Second, "holds", start.Add(3 * time.Second)},
		{time.Second, 2, 1800 * time.Millisecond, "holds", start.Add(3800 * time.Millisecond)},
		{0, 3, 0, "holds", time.Time{}},
		{0, 4, 2 * time.Second, "other", time.Time{}},
	} {
		now = now.Add(v.after)
		e := site.TargetRecord{ID: "a", Target: &site.Target{ID: "a", Service: v.service}, Revision: v.revision, ColdLeft: v.left}
		is.Equal(p.coldUntil(s, &e), v.want)
	}
	is.Equal(len(s.colds), 0)
}

// TestLapsedPermitIsNotUsed checks that a request is not sent whose process was frozen after it had taken a permit.
func TestLapsedPermitIsNotUsed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var frozen time.Duration
	dial := dialInTime(func() time.Time { return now }, func(context.Context, string, string) (net.Conn, error) {
		now = now.Add(frozen)
		conn, _ := net.Pipe()
		return conn, nil
	})
	by := now.Add(100 * time.Millisecond)
	_, err := dial(withSendBy(context.Background(), by), "tcp", "")
	is.NoErr(err)
	frozen = time.Second
	_, err = dial(withSendBy(context.Background(), by), "tcp", "")
	is.True(errors.Is(err, errPermitLapsed))
	_, err = dial(withSendBy(context.Background(), time.Time{}), "tcp", "")
	is.NoErr(err)
}
