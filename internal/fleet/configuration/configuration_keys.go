package configuration

import "github.com/dragonflydeal/dragonflydeal/internal/base/document"

// Keys describe the keys of the configuration for the decoder and the manual.
var Keys = document.Keys{
	{Path: "format", Doc: "Version of this format, \"MAJOR.MINOR\".", Unit: "text", Example: `"1.0"`, Required: true},
	{Path: "revision", Doc: "Number of this configuration; it rises with each change and never falls.", Unit: "number", Min: "1", Example: "1", Required: true},
	{Path: "author", Doc: "Who published the revision; it goes to the audit trail.", Unit: "text", Example: `"operator"`},

	{Path: "centres", Doc: "The data centres.", Unit: "list", Example: `[{"name": "riga-1"}]`, Required: true},
	{Path: "centres[].name", Doc: "Name of the data centre, unique.", Unit: "text", Example: `"riga-1"`, Required: true},
	{Path: "centres[].watts", Doc: "Power cap of the site; 0 means no cap.", Unit: "watts", Default: "0", Min: "0", Max: "1000000000", Example: "12000"},

	{Path: "entries", Doc: "The entry instances.", Unit: "list", Example: `[]`},
	{Path: "entries[].name", Doc: "Name of the entry, unique.", Unit: "text", Example: `"entry-1"`, Required: true},
	{Path: "entries[].centre", Doc: "Name of its data centre.", Unit: "text", Example: `"riga-1"`, Required: true},
	{Path: "entries[].address", Doc: "Where it serves its peers, unique.", Unit: "IP:port", Example: `"10.1.0.11:7400"`, Required: true},

	{Path: "targets", Doc: "The target instances.", Unit: "list", Example: `[]`, Required: true},
	{Path: "targets[].name", Doc: "Name of the target, unique.", Unit: "text", Example: `"desk-1"`, Required: true},
	{Path: "targets[].centre", Doc: "Name of its data centre.", Unit: "text", Example: `"riga-1"`, Required: true},
	{Path: "targets[].kind", Doc: "`engine` for a model engine, `service` for a plain service.", Unit: "text", Example: `"engine"`, Required: true},
	{Path: "targets[].pool", Doc: "Name shared by the targets that serve the same routes.", Unit: "text", Example: `"desk"`, Required: true},
	{Path: "targets[].address", Doc: "Where its slot serves the system's processes, unique.", Unit: "IP:port", Example: `"10.1.0.21:7400"`, Required: true},
	{Path: "targets[].width", Doc: "Requests that the engine runs at once.", Unit: "requests", Min: "1", Max: "100000", Example: "8", Required: true},
	{Path: "targets[].group", Doc: "Name of its expert-parallel group.", Unit: "text", Example: `"desk"`},
	{Path: "targets[].rank", Doc: "Position in the group, unique there.", Unit: "number", Default: "0", Min: "0", Max: "100000", Example: "0"},
	{Path: "targets[].watts", Doc: "Share of the site's cap; the shares of a site sum to at most its cap.", Unit: "watts", Default: "0", Min: "0", Max: "1000000000", Example: "900"},
	{Path: "targets[].idle", Doc: "Draw without any work; at most the share.", Unit: "watts", Default: "0", Min: "0", Max: "1000000000", Example: "200"},
	{Path: "targets[].draw", Doc: "Further draw of each running request.", Unit: "watts", Default: "0", Min: "0", Max: "1000000000", Example: "60"},

	{Path: "groups", Doc: "The expert-parallel groups.", Unit: "list", Example: `[]`},
	{Path: "groups[].name", Doc: "Name of the group, unique.", Unit: "text", Example: `"desk"`, Required: true},
	{Path: "groups[].experts", Doc: "Experts in a layer.", Unit: "experts", Min: "1", Max: "100000", Example: "64", Required: true},
	{Path: "groups[].hold", Doc: "Whether the engines can stop at a given step.", Unit: "true or false", Default: "false", Example: "true"},
	{Path: "groups[].price", Doc: "Step time that moving one expert must save to be worth it.", Unit: "steps", Default: "0", Min: "0", Example: "200"},

	{Path: "workspaces", Doc: "The workspaces.", Unit: "list", Example: `[{"name": "desk"}]`, Required: true},
	{Path: "workspaces[].name", Doc: "Name of the workspace, unique.", Unit: "text", Example: `"desk"`, Required: true},
	{Path: "workspaces[].rate", Doc: "Requests a second; 0 means no limit.", Unit: "requests/s", Default: "0", Min: "0", Example: "20"},
	{Path: "workspaces[].burst", Doc: "Requests above the rate that may come at once.", Unit: "requests", Default: "0", Min: "0", Example: "40"},
	{Path: "workspaces[].weight", Doc: "Share under contention relative to other workspaces; 0 means 1.", Unit: "number", Default: "1", Min: "0", Max: "1000000", Example: "1"},
	{Path: "workspaces[].priority", Doc: "Order under shortage; higher goes first.", Unit: "number", Default: "0", Example: "1"},

	{Path: "routes", Doc: "Which pool serves which request path.", Unit: "list", Example: `[]`, Required: true},
	{Path: "routes[].name", Doc: "Name of the route, unique.", Unit: "text", Example: `"desk"`, Required: true},
	{Path: "routes[].prefix", Doc: "Start of the request path, unique; the longest matching prefix wins.", Unit: "text", Example: `"/v1/desk"`, Required: true},
	{Path: "routes[].pool", Doc: "Pool of at least one target.", Unit: "text", Example: `"desk"`, Required: true},
	{Path: "routes[].once", Doc: "Whether a call may run at most once (non-idempotent).", Unit: "true or false", Default: "false", Example: "true"},
	{Path: "routes[].stream", Doc: "Whether answers are sent as events.", Unit: "true or false", Default: "false", Example: "true"},
	{Path: "routes[].timeout", Doc: "Longest time to the whole answer.", Unit: "duration", Min: "1ms", Max: "24h", Example: `"30s"`, Required: true},
}
