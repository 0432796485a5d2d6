package site

import (
	"context"
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/settings"
)

// Stay starts a site, prints command lines to try it and keeps it running until the context ends.
func Stay(ctx context.Context, o Options, out io.Writer) (err error) {
	s, err := New(ctx, o)
	if err != nil {
		return merry.Prepend(err, "trial")
	}
	defer s.Close()
	for _, line := range s.Hints() {
		fmt.Fprintln(out, line)
	}
	<-ctx.Done()
	fmt.Fprintln(out, "stopping")
	return nil
}

// Hints returns command lines with which to try the running site.
func (s *Site) Hints() []string {
	entries := s.centreEntries(s.options.Centres[0])
	entry, slot := entries[0], s.processes[s.firstEngine()]
	callers := "http://" + entry.settings.Callers.String()
	workspace := "-H 'Workspace: " + s.options.Workspaces[0] + "'"
	return []string{
		"# A streamed answer:",
		"curl -N " + workspace + " -d '{\"prompt\":\"Rīga\",\"tokens\":20}' " + callers + "/v1/desk",
		"# An idempotent call of a plain service:",
		"curl " + workspace + " -d 'Uashat' " + callers + "/v1/lookups",
		"# A non-idempotent call: ask for a key, then use it as often as you like.",
		"KEY=$(curl -s -o /dev/null -D - " + workspace + " -d 'room 7' " + callers + "/v1/holds | tr -d '\\r' | sed -n 's/^Idempotency-Key: //Ip')",
		"curl " + workspace + " -H \"Idempotency-Key: $KEY\" -d 'room 7' " + callers + "/v1/holds",
		"# What an entry and a slot know:",
		"curl http://" + entry.settings.Operators.String() + "/status",
		"curl http://" + slot.settings.Operators.String() + "/audit",
		"dragonflydeal status " + s.operators(),
		"# End with Ctrl-C.",
	}
}

// operators returns the operators' addresses of one entry of each data centre and of all slots, separated by spaces.
func (s *Site) operators() (text string) {
	for _, centre := range s.options.Centres {
		text += s.centreEntries(centre)[0].settings.Operators.String() + " "
	}
	for _, v := range s.configuration.Targets {
		if p := s.processes[v.Name]; p.role == settings.RoleSlot {
			text += p.settings.Operators.String() + " "
		}
	}
	return text[:max(0, len(text)-1)]
}
