package revision

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/dragonflydeal/dragonflydeal/internal/fleet/configuration"
)

// Changes summarizes the differences between two configurations by kind of object, such as "targets+1-0~2".
// The first may be nil.
func Changes(before, after *configuration.Configuration) string {
	if before == nil {
		before = &configuration.Configuration{}
	}
	kinds := []struct {
		name string
		text string
	}{
		{"centres", difference(before.Centres, after.Centres, func(v configuration.Centre) string { return v.Name })},
		{"entries", difference(before.Entries, after.Entries, func(v configuration.Entry) string { return v.Name })},
		{"targets", difference(before.Targets, after.Targets, func(v configuration.Target) string { return v.Name })},
		{"groups", difference(before.Groups, after.Groups, func(v configuration.Group) string { return v.Name })},
		{"workspaces", difference(before.Workspaces, after.Workspaces, func(v configuration.Workspace) string { return v.Name })},
		{"routes", difference(before.Routes, after.Routes, func(v configuration.Route) string { return v.Name })},
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

// difference counts added, removed and changed elements; it is empty when there are none.
func difference[T any](before, after []T, name func(T) string) string {
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
