package cmds

import (
	"context"
	"fmt"
	"os"
	"time"

	"wasabiweir/io/flags"
	"wasabiweir/io/logs"
	"wasabiweir/io/stand"
)

// bindStandinEngineCommand registers the settings of the standin engine command, which simulates a model engine.
func bindStandinEngineCommand(set *flags.Set, inv *invocation) runFunc {
	engine := &stand.Engine{Exit: os.Exit}
	var models flags.List
	var salt uint
	set.StringVar(&engine.Listen, "listen", "127.0.0.1:7080", "address of the engine")
	set.Var(&models, "models", "models that are loaded, as name or name@version, separated by commas")
	set.IntVar(&engine.Slots, "slots", 16, "number of requests that run at once")
	set.Float64Var(&engine.TokensPerSecond, "tokens-per-second", 50, "token rate of a request that runs alone")
	set.Float64Var(&engine.BatchSlowdown, "batch-slowdown", 0.02, "share by which each further running request lengthens a step")
	set.Float64Var(&engine.PrefillTokensPerSecond, "prefill-tokens-per-second", 8000, "rate at which uncached prompt tokens are processed")
	set.IntVar(&engine.PrefixCacheTokens, "prefix-cache-tokens", 1<<17, "size of the prefix cache")
	set.UintVar(&salt, "salt", 0, "value in the low 6 bits of each token id")
	set.StringVar(&engine.Software, "software", "", "software version that the engine reports; empty means that it reports none")
	set.DurationVar(&engine.ReportLag, "report-lag", 500*time.Millisecond, "age of the load report")
	set.DurationVar(&engine.CacheEventLag, "cache-event-lag", 500*time.Millisecond, "delay of cache events")
	set.Float64Var(&engine.CacheEventLoss, "cache-event-loss", 0.01, "share of cache events that are lost")
	set.BoolVar(&engine.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
	set.DurationVar(&engine.OrderLatency, "order-latency", 100*time.Millisecond, "time that an order takes")
	set.IntVar(&engine.Faults.DieAfterTokens, "die-after-tokens", 0, "end the process after that many tokens; 0 means never")
	set.StringVar(&engine.Faults.DieOnWord, "die-on-word", "", "end the process when it has processed a prompt with this word; empty means never")
	set.StringVar(&engine.Faults.HangOnWord, "hang-on-word", "", "stop responding for good after the first tokens for a prompt with this word; empty means never")
	logLevel := bindLogLevel(set)
	requireAddress(set, "listen", &engine.Listen)
	set.AddRule("models", "at least one model", func() bool { return len(models) > 0 })
	set.AddRule("slots", "between 1 and 4096", func() bool { return engine.Slots >= 1 && engine.Slots <= 4096 })
	set.AddRule("salt", "between 0 and 63", func() bool { return salt < 64 })
	return func(ctx context.Context) error {
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		engine.Models, engine.Salt, engine.Log = models, uint32(salt), log
		s := &signalHandler{log: log}
		return s.run(ctx, engine.Run)
	}
}

// bindStandinServiceCommand registers the settings of the standin service command, which simulates a plain service.
func bindStandinServiceCommand(set *flags.Set, inv *invocation) runFunc {
	service := &stand.Service{Exit: os.Exit}
	set.StringVar(&service.Listen, "listen", "127.0.0.1:7090", "address of the service")
	set.DurationVar(&service.Latency, "latency", 5*time.Millisecond, "time from the execution of a call to its reply")
	set.StringVar(&service.Faults.DieOnWord, "die-on-word", "", "end the process when it has received a call with this word in its query or body; empty means never")
	logLevel := bindLogLevel(set)
	requireAddress(set, "listen", &service.Listen)
	return func(ctx context.Context) error {
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		service.Log = log
		s := &signalHandler{log: log}
		return s.run(ctx, service.Run)
	}
}
