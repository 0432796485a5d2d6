package settings

import "github.com/dragonflydeal/dragonflydeal/internal/base/document"

// Keys describe the keys of the settings file for the decoder, the defaults and the manual.
var Keys = document.Keys{
	{Path: "name", Doc: "Name of this instance in the configuration.", Unit: "text", Example: `"entry-1"`, Required: true},
	{Path: "centre", Doc: "Name of the data centre of this instance.", Unit: "text", Example: `"riga-1"`, Required: true},
	{Path: "platform", Doc: "HTTP address of the platform's configuration service and instance list.", Unit: "IP:port", Example: `"10.1.0.2:8500"`, Required: true},
	{Path: "listen", Doc: "Address for the system's other processes.", Unit: "IP:port", Example: `"10.1.0.11:7400"`, Required: true},
	{Path: "operators", Doc: "HTTP address for operators.", Unit: "IP:port", Example: `"10.1.0.11:7401"`, Required: true},
	{Path: "callers", Doc: "HTTP address for callers; an entry needs it, a slot has none.", Unit: "IP:port", Example: `"10.1.0.11:8080"`},
	{Path: "engine", Doc: "HTTP address of the target's engine or service; a slot needs it, an entry has none.", Unit: "IP:port", Example: `"10.1.0.21:9000"`},
	{Path: "peers", Doc: "Addresses of entries that are asked for the configuration at start.", Unit: "list of IP:port", Example: `["10.1.0.12:7400"]`},
	{Path: "beat", Doc: "Time between heartbeats.", Unit: "duration", Default: "250ms", Min: "10ms", Max: "10s", Example: `"250ms"`},
	{Path: "ping", Doc: "Time without a sign of life after which a connection counts as silent.", Unit: "duration", Default: "500ms", Min: "20ms", Max: "1m", Example: `"500ms"`},
	{Path: "drain", Doc: "Time that a stopping process goes on announcing that it leaves.", Unit: "duration", Default: "2s", Min: "1ms", Max: "10m", Example: `"2s"`},
	{Path: "stop", Doc: "Longest time that a stop waits for requests in progress. In its last tenth the rest is answered with an error; what it cuts is logged.", Unit: "duration", Default: "1m", Min: "1ms", Max: "24h", Example: `"1m"`},
	{Path: "body", Doc: "Largest body of a caller's request.", Unit: "bytes", Default: "1048576", Min: "1", Max: "67108864", Example: "1048576"},
}
