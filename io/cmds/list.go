package cmds

// commands returns the subcommands in the order of the usage text.
func commands() []command {
	return []command{
		{name: "dev", summary: "Run all roles and stand-ins in one process", bind: bindDev},
		{name: "router", summary: "Serve callers on an entry instance", bind: bindRouter},
		{name: "control", summary: "Replicate the configuration and the call ledger", bind: bindControl},
		{name: "platform edge", summary: "Forward callers' requests on an edge machine of the users' platform", bind: bindPlatformEdge},
		{name: "platform core", summary: "Keep the configuration on a core machine of the users' platform", bind: bindPlatformCore},
		{name: "standin engine", summary: "Run a stand-in for a model engine", bind: bindStandinEngine},
		{name: "standin service", summary: "Run a stand-in for a plain service", bind: bindStandinService},
		{name: "apply", args: "FILE", summary: "Check a change and publish it whole", bind: bindApply},
		{name: "get", args: "[KIND [NAME]]", summary: "Print objects", bind: bindGet},
		{name: "diff", args: "FROM TO", summary: "Print what differs between two revisions", bind: bindDiff},
		{name: "history", summary: "List the latest revisions", bind: bindHistory},
		{name: "load", summary: "Send load to running routers and check every answer", bind: bindLoad},
		{name: "bench", summary: "Run the decision code on a virtual clock and print its figures", bind: bindBench},
		{name: "report", summary: "Draw played days and waiting times as one HTML page", bind: bindReport},
		{name: "status", summary: "Show members, routers and what is wrong", bind: bindStatus},
	}
}
