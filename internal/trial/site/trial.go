package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Run starts a site, runs all steps under load and returns what held and the measures.
func Run(ctx context.Context, o Options, progress io.Writer) (r *Report, err error) {
	defer func() {
		if err != nil {
			err = merry.Prepend(err, "trial")
		}
	}()
	began := time.Now()
	s, err := New(ctx, o)
	if err != nil {
		return nil, err
	}
	t := &trial{site: s, ledger: newLedger(began), began: began, progress: progress}
	t.say("%d entries and %d targets serve in %d data centres", len(s.configuration.Entries), len(s.configuration.Targets), len(o.Centres))
	err = t.run(ctx)
	s.Close()
	if err != nil {
		return nil, err
	}
	return t.report(), nil
}

// trial is one run of all steps.
type trial struct {
	site     *Site
	ledger   *ledger
	watch    *watch
	began    time.Time
	progress io.Writer

	// late counts the requests that started at the leaving target after the limit, of drains targets that left.
	late, drains int
	// lags are the times until each published revision was in force in reach.
	lags []time.Duration
	// overdue counts the revisions that took longer than the limit.
	overdue int
	// idle counts the data centres that completed nothing during a cut, of islands looked at.
	idle, islands int
	// groupSteps counts the steps of the group, and mixed those that ran with two maps.
	groupSteps, mixed int
	// switches counts the rebalances that were due, and stuck those that did not come in time.
	switches, stuck int
	// skewBefore and skewAfter are the largest load of a rank over the mean, after the drift and after the rebalance.
	skewBefore, skewAfter float64
	// loaded counts the experts that the rebalance loaded, and rebalanced is the time until the new map was in use.
	loaded     int
	rebalanced time.Duration
	// capped counts the data centres whose draw was watched under a cap, and over those whose draw was above it.
	capped, over int
	// draw is the highest draw of a data centre under the cap in watts.
	draw int
	// dirty counts the processes that ended with an error, of stops asked to.
	dirty, stops int
	// calls is the number of calls at the platform's configuration service when the load ended.
	calls int
	// served is the time that the load ran.
	served time.Duration
}

// step is one part of a trial under load.
type step struct {
	name string
	run  func(*trial, context.Context) error
}

// steps are run in order.
var steps = []step{
	{"load", (*trial).settle},
	{"drain", (*trial).drain},
	{"configuration", (*trial).configure},
	{"drift", (*trial).drift},
	{"power", (*trial).shortage},
	{"cut", (*trial).cut},
	{"entry", (*trial).replace},
}

// say prints a line of progress.
func (t *trial) say(format string, args ...any) {
	fmt.Fprintf(t.progress, "%5.1fs  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the steps under load and waits for the last answer.
func (t *trial) run(ctx context.Context) (err error) {
	work, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	t.watch = t.site.startWatch(work, &group)
	group.Go(func() { t.ledger.watchPauses(work) })
	started := time.Now()
	callers := t.site.startLoad(work, t.ledger)
	for _, v := range steps {
		if failed := v.run(t, ctx); failed != nil {
			err = errors.Join(err, merry.Prependf(failed, "step %s", v.name))
			break
		}
	}
	t.served = time.Since(started)
	t.calls = t.site.platform.Calls()
	state := t.site.group.State()
	t.groupSteps, t.mixed = int(state.Step), len(state.MixedSteps)
	t.say("the load ends; the last answers are awaited")
	cancel()
	callers.wait()
	group.Wait()
	return errors.Join(err, ctx.Err())
}

// report sums up the run.
func (t *trial) report() *Report {
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	looks, falls := t.watch.result()
	r := &Report{Seed: t.site.options.Seed, Took: time.Since(t.began).Round(100 * time.Millisecond).String()}
	most, executed, notRun, different := t.countKeys()
	answers := l.complete + l.wrong + l.errors
	r.Promises = []Promise{
		{"a key is executed at most once", executed, most},
		{"a key that was told \"not run\" is never executed", len(l.keys), notRun},
		{"a resend gets the same answer", len(l.keys), different},
		{"an answer is whole and right, or a visible error", answers, l.wrong},
		{"nothing breaks off without a fault, planned stops included", answers, l.cutOff},
		{"a leaving target gets no new work after " + leaveLimit.String(), t.drains, t.late},
		{"a configuration is in force in reach within " + revisionLimit.String(), len(t.lags), t.overdue},
		{"the configuration in force never falls", looks, len(falls)},
		{"a data centre that is cut off goes on serving", t.islands, t.idle},
		{"all ranks of a group use one map in every step", t.groupSteps, t.mixed},
		{"a drift leads to a new map within " + rebalanceLimit.String(), t.switches, t.stuck},
		{"a site's draw stays under its cap", t.capped, t.over},
		{"a stopped process ends without an error", t.stops, t.dirty},
	}
	r.Measures = t.measures()
	r.Details = append(l.details, falls...)
	return r
}

// countKeys compares what callers were told with the executions at the services.
func (t *trial) countKeys() (twice, executed, notRun, different int) {
	for key, k := range t.ledger.keys {
		runs := 0
		for _, v := range t.site.services {
			runs += v.Runs(key)
		}
		if runs > 0 {
			executed++
		}
		if runs > 1 {
			twice++
		}
		if runs > 0 && k.notRun {
			notRun++
		}
		if len(k.answers) > 1 {
			different++
		}
	}
	return twice, executed, notRun, different
}

// measures returns the figures of the run.
func (t *trial) measures() []Measure {
	l := t.ledger
	var lag time.Duration
	for _, v := range t.lags {
		lag = max(lag, v)
	}
	all := max(1, l.complete+l.refused+l.errors)
	out := []Measure{
		{"answers completed", float64(l.complete), "answers"},
		{"answers completed, rate", float64(l.complete) / t.served.Seconds(), "answers/s"},
		{"refused", float64(l.refused), "requests"},
		{"refused, share", 100 * float64(l.refused) / float64(all), "%"},
		{"pauses of this program by its machine", float64(len(l.pauses)), "pauses"},
		{"visible errors during faults and pauses", float64(l.errors - l.cutOff), "requests"},
	}
	out = append(out, quantiles("stream, time to first token", l.first)...)
	out = append(out, quantiles("stream, time between tokens", l.between)...)
	out = append(out, quantiles("plain call", l.call)...)
	return append(out,
		Measure{"configuration in force everywhere in reach, slowest", lag.Seconds(), "s"},
		Measure{"step-time skew after the drift", t.skewBefore, "max/mean"},
		Measure{"step-time skew after the rebalance", t.skewAfter, "max/mean"},
		Measure{"experts loaded by the rebalance", float64(t.loaded), "experts"},
		Measure{"drift to new map in use", t.rebalanced.Seconds(), "s"},
		Measure{"highest draw of a site during the shortage", float64(t.draw), "W"},
		Measure{"calls at the configuration service", float64(t.calls) / t.served.Seconds(), "calls/s"},
	)
}
