package cmds

// commands returns the subcommands of the wasabiweir binary in the order in which its usage text lists them.
func commands() []command {
	return []command{
		{name: "dev", summary: "Run all roles and stand-ins in one process", bind: bindDevCommand},
		{name: "router", summary: "Serve callers on an entry instance", bind: bindRouterCommand},
		{name: "control", summary: "Replicate the configuration and the call ledger", bind: bindControlCommand},
		{name: "platform edge", summary: "Forward callers' requests on an edge machine of the users' platform", bind: bindPlatformEdgeCommand},
		{name: "platform core", summary: "Keep the configuration on a core machine of the users' platform", bind: bindPlatformCoreCommand},
		{name: "standin engine", summary: "Run a stand-in for a model engine", bind: bindStandinEngineCommand},
		{name: "standin service", summary: "Run a stand-in for a plain service", bind: bindStandinServiceCommand},
		{name: "apply", args: "FILE", summary: "Check a change and publish it whole", bind: bindApplyCommand},
		{name: "get", args: "[KIND [NAME]]", summary: "Print objects", bind: bindGetCommand},
		{name: "diff", args: "FROM TO", summary: "Print what differs between two revisions", bind: bindDiffCommand},
		{name: "history", summary: "List the latest revisions", bind: bindHistoryCommand},
		{name: "load", summary: "Send load to running routers and check every answer", bind: bindLoadCommand},
		{name: "bench", summary: "Run the decision code on a virtual clock and print its figures", bind: bindBenchCommand},
		{name: "report", summary: "Draw played days and waiting times as one HTML page", bind: bindReportCommand},
		{name: "status", summary: "Show members, routers and what is wrong", bind: bindStatusCommand},
	}
}
