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
	// pauseLeast and pauseMost bound the time between two requests of a caller.
	pauseLeast = 5 * time.Millisecond
	pauseMost  = 25 * time.Millisecond
	// shortTokens and longTokens bound the answers of the streams.
	shortTokens = 20
	longTokens  = 900
	// resendShare is the share of confirmations that are sent again.
	resendShare = 0.4
	// balancerInterval is the time between two health checks of the platform's balancer.
	balancerInterval = 100 * time.Millisecond
)

// load is the callers' side: a mixed load through the platform's balancer.
type load struct {
	site   *Site
	caller *caller
	ledger *ledger
	group  sync.WaitGroup

	mu sync.Mutex
	// entries are those that were ready last; guarded by mu.
	entries []*process
}

// startLoad runs the load until the context ends; wait returns when all requests have ended.
func (s *Site) startLoad(ctx context.Context, book *ledger) *load {
	l := &load{site: s, caller: newCaller(), ledger: book}
	l.balance()
	l.group.Go(func() { l.keepBalancing(ctx) })
	for i := range streamCallers {
		l.group.Go(func() { l.repeat(ctx, uint64(i), l.stream) })
	}
	for i := range lookupCallers {
		l.group.Go(func() { l.repeat(ctx, uint64(100+i), l.lookup) })
	}
	for i := range confirmCallers {
		l.group.Go(func() { l.repeat(ctx, uint64(200+i), l.confirm) })
	}
	return l
}

// wait returns when all requests have ended.
func (l *load) wait() {
	l.group.Wait()
	l.caller.client.CloseIdleConnections()
}

// repeat makes one request after the other with a random source of its own.
func (l *load) repeat(ctx context.Context, number uint64, request func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(l.site.options.Seed, number))
	for ctx.Err() == nil {
		request(random)
		sleep(ctx, pauseLeast+time.Duration(random.Int64N(int64(pauseMost-pauseLeast))))
	}
}

// keepBalancing refreshes the ready entries until the context ends.
func (l *load) keepBalancing(ctx context.Context) {
	for sleep(ctx, balancerInterval) {
		l.balance()
	}
}

// balance finds the entries that are ready, as the platform's balancer does.
func (l *load) balance() {
	var ready []*process
	for _, c := range l.site.configuration.Entries {
		if p := l.site.processes[c.Name]; l.site.ready(p) {
			ready = append(ready, p)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = ready
}

// entry returns a ready entry by chance, or nil.
func (l *load) entry(random *rand.Rand) *process {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) == 0 {
		return nil
	}
	return l.entries[random.IntN(len(l.entries))]
}

// send asks one ready entry and notes the answer. Each request runs to its own end.
func (l *load) send(random *rand.Rand, q question, right expected) (r reply) {
	p := l.entry(random)
	if p == nil {
		return reply{}
	}
	r = l.caller.ask(context.Background(), p.settings.Callers, q)
	if r.status != http.StatusPreconditionRequired {
		l.ledger.take(p.centre, q, &r, right)
	}
	return r
}

// workspace returns a workspace by chance.
func (l *load) workspace(random *rand.Rand) string {
	return l.site.options.Workspaces[random.IntN(len(l.site.options.Workspaces))]
}

// stream asks an engine for a long or short answer.
func (l *load) stream(random *rand.Rand) {
	prompt := fmt.Sprintf("room %d", random.IntN(1000))
	tokens := shortTokens + random.IntN(10*shortTokens)
	if random.IntN(10) == 0 {
		tokens = longTokens
	}
	body := fmt.Sprintf(`{"prompt":%q,"tokens":%d}`, prompt, tokens)
	want := engine.Expected(prompt, tokens)
	l.send(random, question{path: "/v1/desk", workspace: l.workspace(random), body: body},
		func(text string) bool { return text == want })
}

// lookup asks a plain service for an idempotent answer.
func (l *load) lookup(random *rand.Rand) {
	body := fmt.Sprintf("place %d", random.IntN(1000))
	l.send(random, question{path: "/v1/lookups", workspace: l.workspace(random), body: body}, ends(body))
}

// ends returns a check for the service's answer to a body.
func ends(body string) expected {
	return func(text string) bool { return strings.HasPrefix(text, "done ") && strings.HasSuffix(text, ": "+body) }
}

// confirm makes a non-idempotent call: it gets a key, repeats the request with it, and sometimes again.
func (l *load) confirm(random *rand.Rand) {
	q := question{path: "/v1/holds", workspace: l.workspace(random), body: fmt.Sprintf("slot %d", random.IntN(1000))}
	first := l.send(random, q, ends(q.body))
	if first.status != http.StatusPreconditionRequired {
		return
	}
	q.key = first.problem.Key
	var twin sync.WaitGroup
	if random.Float64() < resendShare {
		other := rand.New(rand.NewPCG(random.Uint64(), 0))
		twin.Go(func() { l.send(other, q, ends(q.body)) })
	}
	l.send(random, q, ends(q.body))
	twin.Wait()
	if random.Float64() < resendShare {
		l.send(random, q, ends(q.body))
	}
}

// roleEntries returns the entries of a data centre.
func (s *Site) roleEntries(centre string) (entries []*process) {
	for _, c := range s.configuration.Entries {
		if p := s.processes[c.Name]; p.role == settings.RoleEntry && p.centre == centre {
			entries = append(entries, p)
		}
	}
	return entries
}
