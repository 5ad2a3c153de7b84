package cmds

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"wasabiweir/core/bench"
	"wasabiweir/io/flags"
	"wasabiweir/io/load"
	"wasabiweir/io/logs"
)

// Values of the -format setting of the bench and load commands.
const (
	formatText = "text"
	formatJSON = "json"
)

// bindFormatSetting registers the setting -format of the output, text or json, and returns the variable that holds its
// value.
func bindFormatSetting(set *flags.Set) *string {
	f := set.String("format", formatText, "text or json")
	set.AddRule("format", "text or json", func() bool { return *f == formatText || *f == formatJSON })
	return f
}

// bindBenchCommand registers the settings of the bench command, which simulates a deployment on a virtual clock.
func bindBenchCommand(set *flags.Set, inv *invocation) runFunc {
	var o bench.Options
	set.StringVar(&o.Scenario, "scenario", bench.ScenarioResume, strings.Join(bench.Scenarios, ", "))
	set.StringVar(&o.Deployment, "deployment", bench.DeploymentAgencia, strings.Join(bench.Deployments, ", "))
	set.Uint64Var(&o.Seed, "seed", 1, "seed of the arrivals and faults; the same seed gives the same report")
	f := bindFormatSetting(set)
	set.AddRule("scenario", strings.Join(bench.Scenarios, ", "), func() bool { return slices.Contains(bench.Scenarios, o.Scenario) })
	set.AddRule("deployment", strings.Join(bench.Deployments, ", "), func() bool { return slices.Contains(bench.Deployments, o.Deployment) })
	return func(context.Context) error {
		r, err := bench.Run(o)
		if err != nil {
			return fmt.Errorf("run benchmark: %w", err)
		}
		if *f == formatJSON {
			return r.WriteJSON(inv.stdout)
		}
		return r.WriteText(inv.stdout)
	}
}

// bindLoadCommand registers the settings of the load command, which sends load to running routers and checks the
// responses.
func bindLoadCommand(set *flags.Set, inv *invocation) runFunc {
	generator := &load.Runner{}
	var routers, services, engines flags.List
	accounts := flags.Pairs{"vets": devAccountToken}
	routers = flags.List{"127.0.0.1:8080"}
	set.Var(&routers, "routers", "addresses that are asked first for the routers to use, separated by commas")
	set.Var(&accounts, "accounts", "client accounts as name=access token, separated by commas")
	set.Var(&services, "services", "addresses of stand-in services whose executions are checked")
	set.Var(&engines, "engines", "addresses of stand-in engines whose totals are read")
	set.StringVar(&generator.Model, "model", "dente", "model of the generations")
	set.StringVar(&generator.Service, "service", devPlainService, "service of the calls")
	set.StringVar(&generator.Path, "path", "/visits", "path of the calls")
	set.Uint64Var(&generator.Seed, "seed", 1, "seed of the arrivals")
	set.DurationVar(&generator.Duration, "duration", 10*time.Second, "time in which work arrives")
	set.Float64Var(&generator.Rate, "rate", 5, "arrivals per second")
	set.Float64Var(&generator.PeakFactor, "peak-factor", 0, "factor of the rate during the peak; 0 means no peak")
	set.DurationVar(&generator.PeakAt, "peak-at", 0, "start of the peak")
	set.DurationVar(&generator.PeakFor, "peak-for", 0, "length of the peak")
	set.Float64Var(&generator.CallShare, "call-share", 0.2, "share of arrivals that are service calls")
	set.Float64Var(&generator.LongShare, "long-share", 0.2, "share of generations that are long")
	set.IntVar(&generator.ShortTokens, "short-tokens", 40, "mean output of short generations in tokens")
	set.IntVar(&generator.LongTokens, "long-tokens", 400, "mean output of long generations in tokens")
	set.Float64Var(&generator.ResendShare, "resend-share", 0.2, "share of finished calls that are sent again with the same key")
	set.IntVar(&generator.PrefixWords, "prefix-words", 0, "length of the beginning that the prompts of an account share, in words")
	set.IntVar(&generator.PromptWords, "prompt-words", 30, "mean length of the prompts in words")
	f := bindFormatSetting(set)
	logLevel := bindLogLevel(set)
	set.AddRule("routers", "at least one address, each an IP number and a port", func() bool { return areAddressesValid(routers) })
	set.AddRule("rate", "above 0 and at most 10000", func() bool { return generator.Rate > 0 && generator.Rate <= 10000 })
	set.AddRule("duration", "between 1s and 1h", func() bool { return isDurationWithin(generator.Duration, time.Second, time.Hour) })
	set.AddRule("call-share", "between 0 and 1", func() bool { return generator.CallShare >= 0 && generator.CallShare <= 1 })
	set.AddRule("long-share", "between 0 and 1", func() bool { return generator.LongShare >= 0 && generator.LongShare <= 1 })
	return func(ctx context.Context) error {
		log, err := logs.New(inv.stderr, *logLevel)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		generator.Routers, generator.Services, generator.Engines, generator.Log = routers, services, engines, log
		for name, token := range accounts {
			generator.Accounts = append(generator.Accounts, load.Account{Name: name, Token: token})
		}
		// Map iteration order is random. Without sorting the accounts, the same seed would assign arrivals to
		// different accounts in each run.
		slices.SortFunc(generator.Accounts, func(a, b load.Account) int { return strings.Compare(a.Name, b.Name) })
		r, err := generator.Run(ctx)
		if err != nil {
			return fmt.Errorf("run load: %w", err)
		}
		if *f == formatJSON {
			err = r.JSON(inv.stdout)
		} else {
			err = r.Text(inv.stdout)
		}
		if err == nil && !r.OK() {
			return eris.Errorf("%d violations", r.ViolationCount)
		}
		return err
	}
}
