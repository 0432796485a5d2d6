package revision

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// Changes counts the added, removed and changed objects of each kind between two configurations, such as "targets+1-0~2".
// The first configuration may be nil.
func Changes(before, after *configuration.Configuration) string {
	if before == nil {
		before = &configuration.Configuration{}
	}
	kinds := []struct {
		name string
		text string
	}{
		{"centres", countChanges(before.Centres, after.Centres, func(v configuration.Centre) string { return v.Name })},
		{"entries", countChanges(before.Entries, after.Entries, func(v configuration.Entry) string { return v.Name })},
		{"targets", countChanges(before.Targets, after.Targets, func(v configuration.Target) string { return v.Name })},
		{"groups", countChanges(before.Groups, after.Groups, func(v configuration.Group) string { return v.Name })},
		{"workspaces", countChanges(before.Workspaces, after.Workspaces, func(v configuration.Workspace) string { return v.Name })},
		{"routes", countChanges(before.Routes, after.Routes, func(v configuration.Route) string { return v.Name })},
	}
	var parts []string
	for _, k := range kinds {
		if k.text != "" {
			parts = append(parts, k.name+k.text)
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ",")
}

// countChanges counts added, removed and changed elements; it returns an empty string if there are none.
func countChanges[T any](before, after []T, name func(T) string) string {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[name(v)] = v
	}
	var added, changed int
	for _, v := range after {
		o, ok := old[name(v)]
		switch {
		case !ok:
			added++
		case !reflect.DeepEqual(o, v):
			changed++
		}
		delete(old, name(v))
	}
	if added+len(old)+changed == 0 {
		return ""
	}
	return fmt.Sprintf("+%d-%d~%d", added, len(old), changed)
}
