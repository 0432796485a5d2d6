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

// Run starts a site, runs all steps under load and returns the checked invariants and the measures.
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
	t.progressf("%d entries and %d targets serve in %d data centres", len(s.configuration.Entries), len(s.configuration.Targets), len(o.Centres))
	err = t.run(ctx)
	s.Close()
	if err != nil {
		return nil, err
	}
	return t.report(), nil
}

// trial is one run of all steps with its results.
type trial struct {
	site     *Site
	ledger   *ledger
	watch    *revisionWatch
	began    time.Time
	progress io.Writer

	// lateRuns counts the requests that started at leaving targets after leaveLimit; drains counts these targets.
	lateRuns, drains int
	// revisionLags are the times until each published revision was in force at all reachable processes.
	revisionLags []time.Duration
	// overdueRevisions counts the revisions that took longer than revisionLimit.
	overdueRevisions int
	// watchedCentres counts the data centres that were observed during a cut, and idleCentres those that completed no
	// request meanwhile.
	idleCentres, watchedCentres int
	// groupSteps counts the steps of the group, and mixedSteps those that ran with two maps.
	groupSteps, mixedSteps int
	// dueRebalances counts the expected rebalances, and missedRebalances those that did not happen in time.
	dueRebalances, missedRebalances int
	// skewBefore and skewAfter are the largest load of a rank divided by the mean, after the drift and after the rebalance.
	skewBefore, skewAfter float64
	// expertsLoaded counts the experts that the rebalance loaded; rebalanceTime is the time until the new map was in use.
	expertsLoaded int
	rebalanceTime time.Duration
	// cappedCentres counts the data centres that were observed under a power cap, and centresOverCap those whose draw
	// was above it.
	cappedCentres, centresOverCap int
	// maxDraw is the highest power draw of a data centre under the cap, in watts.
	maxDraw int
	// stops counts the processes that were stopped, and failedStops those that ended with an error.
	failedStops, stops int
	// configurationCalls is the number of calls of the platform's configuration service until the end of the load.
	configurationCalls int
	// loadTime is the duration of the load.
	loadTime time.Duration
}

// step is one part of a trial; it runs under load.
type step struct {
	name string
	run  func(*trial, context.Context) error
}

// steps are run in order.
var steps = []step{
	{"load", (*trial).warmUp},
	{"drain", (*trial).drainTarget},
	{"configuration", (*trial).changeWeight},
	{"drift", (*trial).shiftLoad},
	{"power", (*trial).lowerCaps},
	{"cut", (*trial).cutCentre},
	{"entry", (*trial).restartEntry},
}

// progressf prints a line of progress.
func (t *trial) progressf(format string, args ...any) {
	fmt.Fprintf(t.progress, "%5.1fs  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// run runs the steps under load and waits for the last answer.
func (t *trial) run(ctx context.Context) (err error) {
	loadCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	t.watch = t.site.startWatch(loadCtx, &wg)
	wg.Go(func() { t.ledger.detectPauses(loadCtx) })
	started := time.Now()
	callers := t.site.startLoad(loadCtx, t.ledger)
	for _, v := range steps {
		if stepErr := v.run(t, ctx); stepErr != nil {
			err = errors.Join(err, merry.Prependf(stepErr, "step %s", v.name))
			break
		}
	}
	t.loadTime = time.Since(started)
	t.configurationCalls = t.site.platform.Calls()
	state := t.site.group.State()
	t.groupSteps, t.mixedSteps = int(state.Step), len(state.MixedSteps)
	t.progressf("the load ends; waiting for the last answers")
	cancel()
	callers.wait()
	wg.Wait()
	return errors.Join(err, ctx.Err())
}

// report checks the invariants and summarizes the run.
func (t *trial) report() *Report {
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	readings, regressions := t.watch.result()
	r := &Report{Seed: t.site.options.Seed, Took: time.Since(t.began).Round(100 * time.Millisecond).String()}
	executedTwice, executed, notRun, different := t.countKeys()
	answers := l.complete + l.wrongAnswers + l.errors
	r.Invariants = []Invariant{
		{"a key is executed at most once", executed, executedTwice},
		{"a key that was answered \"not run\" is never executed", len(l.keys), notRun},
		{"a resend gets the same answer", len(l.keys), different},
		{"an answer is complete and correct, or a visible error", answers, l.wrongAnswers},
		{"no request fails without a fault, planned stops included", answers, l.unexplainedErrors},
		{"a leaving target gets no new work after " + leaveLimit.String(), t.drains, t.lateRuns},
		{"a configuration is in force at all reachable processes within " + revisionLimit.String(), len(t.revisionLags), t.overdueRevisions},
		{"the revision in force never decreases", readings, len(regressions)},
		{"a data centre that is cut off keeps serving", t.watchedCentres, t.idleCentres},
		{"all ranks of a group use one map in every step", t.groupSteps, t.mixedSteps},
		{"a drift leads to a new map within " + rebalanceLimit.String(), t.dueRebalances, t.missedRebalances},
		{"a data centre's power draw stays under its cap", t.cappedCentres, t.centresOverCap},
		{"a stopped process ends without an error", t.stops, t.failedStops},
	}
	r.Measures = t.measures()
	r.Details = append(l.details, regressions...)
	return r
}

// countKeys compares the answers to callers with the executions at the services. It returns the numbers of keys that
// were executed more than once, that were executed, that were executed though answered "not run", and that got
// different answers. The ledger's mu is held.
func (t *trial) countKeys() (executedTwice, executed, notRun, different int) {
	for key, k := range t.ledger.keys {
		runs := 0
		for _, v := range t.site.services {
			runs += v.Runs(key)
		}
		if runs > 0 {
			executed++
		}
		if runs > 1 {
			executedTwice++
		}
		if runs > 0 && k.notRun {
			notRun++
		}
		if len(k.answers) > 1 {
			different++
		}
	}
	return executedTwice, executed, notRun, different
}

// measures returns the figures of the report; the ledger's mu is held.
func (t *trial) measures() []Measure {
	l := t.ledger
	var lag time.Duration
	for _, v := range t.revisionLags {
		lag = max(lag, v)
	}
	all := max(1, l.complete+l.refused+l.errors)
	out := []Measure{
		{"answers completed", float64(l.complete), "answers"},
		{"answers completed, rate", float64(l.complete) / t.loadTime.Seconds(), "answers/s"},
		{"refused", float64(l.refused), "requests"},
		{"refused, share", 100 * float64(l.refused) / float64(all), "%"},
		{"pauses of this program by the machine", float64(len(l.pauses)), "pauses"},
		{"visible errors during faults and pauses", float64(l.errors - l.unexplainedErrors), "requests"},
	}
	out = append(out, quantiles("stream, time to first token", l.firstToken)...)
	out = append(out, quantiles("stream, time between tokens", l.tokenGap)...)
	out = append(out, quantiles("plain call", l.callLatency)...)
	return append(out,
		Measure{"configuration in force at all reachable processes, slowest", lag.Seconds(), "s"},
		Measure{"step-time skew after the drift", t.skewBefore, "max/mean"},
		Measure{"step-time skew after the rebalance", t.skewAfter, "max/mean"},
		Measure{"experts loaded by the rebalance", float64(t.expertsLoaded), "experts"},
		Measure{"drift to new map in use", t.rebalanceTime.Seconds(), "s"},
		Measure{"highest draw of a data centre during the shortage", float64(t.maxDraw), "W"},
		Measure{"calls of the configuration service", float64(t.configurationCalls) / t.loadTime.Seconds(), "calls/s"},
	)
}
