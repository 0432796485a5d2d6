package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
	"github.com/dragonflydeal/dragonflydeal/internal/trial/engine"
)

// Numbers of callers of each kind; each has one request at a time.
const (
	streamCallers  = 12
	lookupCallers  = 4
	confirmCallers = 6
)

const (
	// minThinkTime and maxThinkTime bound the time between two requests of a caller.
	minThinkTime = 5 * time.Millisecond
	maxThinkTime = 25 * time.Millisecond
	// shortAnswerTokens is the smallest length of a streamed answer, and longAnswerTokens the length of a long one.
	shortAnswerTokens = 20
	longAnswerTokens  = 900
	// resendShare is the probability that a confirmation is sent again.
	resendShare = 0.4
	// balancerInterval is the time between two health checks by the platform's balancer.
	balancerInterval = 100 * time.Millisecond
)

// load generates a mixed load of callers, whose requests go through a simulation of the platform's balancer.
type load struct {
	site   *Site
	caller *caller
	ledger *ledger
	wg     sync.WaitGroup

	mu sync.Mutex
	// entries are those that were ready at the last health check; guarded by mu.
	entries []*process
}

// startLoad starts the load, which runs until the context ends.
func (s *Site) startLoad(ctx context.Context, results *ledger) *load {
	l := &load{site: s, caller: newCaller(), ledger: results}
	l.refreshEntries()
	l.wg.Go(func() { l.pollEntries(ctx) })
	for i := range streamCallers {
		l.wg.Go(func() { l.runCaller(ctx, uint64(i), l.stream) })
	}
	for i := range lookupCallers {
		l.wg.Go(func() { l.runCaller(ctx, uint64(100+i), l.lookup) })
	}
	for i := range confirmCallers {
		l.wg.Go(func() { l.runCaller(ctx, uint64(200+i), l.confirm) })
	}
	return l
}

// wait waits until all requests have ended.
func (l *load) wait() {
	l.wg.Wait()
	l.caller.client.CloseIdleConnections()
}

// runCaller sends one request after the other until the context ends, with a random source of its own.
func (l *load) runCaller(ctx context.Context, number uint64, request func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(l.site.options.Seed, number))
	for ctx.Err() == nil {
		request(random)
		sleep(ctx, minThinkTime+time.Duration(random.Int64N(int64(maxThinkTime-minThinkTime))))
	}
}

// pollEntries refreshes the ready entries until the context ends.
func (l *load) pollEntries(ctx context.Context) {
	for sleep(ctx, balancerInterval) {
		l.refreshEntries()
	}
}

// refreshEntries updates the ready entries, as a health check of the platform's balancer does.
func (l *load) refreshEntries() {
	var ready []*process
	for _, c := range l.site.configuration.Entries {
		if p := l.site.processes[c.Name]; l.site.isReady(p) {
			ready = append(ready, p)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = ready
}

// pickEntry returns a random ready entry, or nil if none is ready.
func (l *load) pickEntry(random *rand.Rand) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	return l.entries[random.IntN(len(l.entries))]
}

// send sends a request to a ready entry and records the answer, except one that only issues an idempotency key (428).
// The end of the load does not cancel the request.
func (l *load) send(random *rand.Rand, q apiRequest, correct answerCheck) (r apiResult) {
	p := l.pickEntry(random)
	if p == nil {
		return apiResult{}
	}
	r = l.caller.send(context.Background(), p.settings.Callers, q)
	if r.status != http.StatusPreconditionRequired {
		l.ledger.record(p.centre, q, &r, correct)
	}
	return r
}

// pickWorkspace returns a random workspace.
func (l *load) pickWorkspace(random *rand.Rand) string {
	return l.site.options.Workspaces[random.IntN(len(l.site.options.Workspaces))]
}

// stream requests a short or a long streamed answer of an engine.
func (l *load) stream(random *rand.Rand) {
	prompt := fmt.Sprintf("room %d", random.IntN(1000))
	tokens := shortAnswerTokens + random.IntN(10*shortAnswerTokens)
	if random.IntN(10) == 0 {
		tokens = longAnswerTokens
	}
	body := fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens)
	want := engine.Expected(prompt, tokens)
	l.send(random, apiRequest{path: "/v1/desk", workspace: l.pickWorkspace(random), body: body},
		func(text string) bool { return text == want })
}

// lookup makes an idempotent call of a plain service.
func (l *load) lookup(random *rand.Rand) {
	body := fmt.Sprintf("place %d", random.IntN(1000))
	l.send(random, apiRequest{path: "/v1/lookups", workspace: l.pickWorkspace(random), body: body}, serviceAnswer(body))
}

// serviceAnswer returns a check for the fake service's answer to a body.
func serviceAnswer(body string) answerCheck {
	return func(text string) bool { return strings.HasPrefix(text, "done ") && strings.HasSuffix(text, ": "+body) }
}

// confirm makes a non-idempotent call: it gets an idempotency key, sends the request with it, and sometimes sends the
// same request again, both concurrently and afterwards.
func (l *load) confirm(random *rand.Rand) {
	q := apiRequest{path: "/v1/holds", workspace: l.pickWorkspace(random), body: fmt.Sprintf("slot %d", random.IntN(1000))}
	first := l.send(random, q, serviceAnswer(q.body))
	if first.status != http.StatusPreconditionRequired {
		return
	}
	q.key = first.problem.Key
	var resend sync.WaitGroup
	if random.Float64() < resendShare {
		other := rand.New(rand.NewPCG(random.Uint64(), 0))
		resend.Go(func() { l.send(other, q, serviceAnswer(q.body)) })
	}
	l.send(random, q, serviceAnswer(q.body))
	resend.Wait()
	if random.Float64() < resendShare {
		l.send(random, q, serviceAnswer(q.body))
	}
}

// centreEntries returns the entries of a data centre.
func (s *Site) centreEntries(centre string) (entries []*process) {
	for _, c := range s.configuration.Entries {
		if p := s.processes[c.Name]; p.role == settings.RoleEntry && p.centre == centre {
			entries = append(entries, p)
		}
	}
	return entries
}
