package bench

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the benchmark scenarios: engines that fail, load above capacity, long requests that block short ones, slow
// engines, and waves of engine crashes.
const (
	ScenarioResume      = "resume"
	ScenarioOverload    = "crest"
	ScenarioBlocking    = "blocking"
	ScenarioSlowEngines = "slowed"
	ScenarioCrashWaves  = "waves"
)

// Names of the simulated deployments, one for each user of the project.
const (
	DeploymentAgencia    = "agencia"
	DeploymentMebelcheta = "mebelcheta"
)

// Scenarios lists the names of all benchmark scenarios.
var Scenarios = []string{ScenarioResume, ScenarioOverload, ScenarioBlocking, ScenarioSlowEngines, ScenarioCrashWaves}

// Deployments lists the names of all simulated deployments.
var Deployments = []string{DeploymentAgencia, DeploymentMebelcheta}

// Options select the scenario, the simulated deployment and the routing policies of a benchmark run.
type Options struct {
	Scenario   string
	Deployment string
	Seed       uint64
	// NewDetector returns the stall detector for one stream; nil means an adaptive one.
	NewDetector func() StallDetector
	// Policies are the names of the routing policies to run; empty means all.
	Policies []string
}

// selectedPolicies returns the routing policies that the options name, or all if they name none.
func (o Options) selectedPolicies() []policySpec {
	if len(o.Policies) == 0 {
		return allPolicies
	}
	var out []policySpec
	for _, p := range allPolicies {
		if slices.Contains(o.Policies, p.name) {
			out = append(out, p)
		}
	}
	return out
}

// routerCount is the number of routers in each simulated deployment.
const routerCount = 8

// deployment describes the engines, the network and the requests of a simulated deployment.
type deployment struct {
	name         string
	engines      int
	domains      []string
	networkDelay time.Duration // one-way delay between two failure domains
	clientDelay  time.Duration // one-way delay between a client and a router
	requests     requestMix
}

// requestMix describes the lengths of the simulated requests in tokens and how many of the requests are short.
type requestMix struct {
	shortShare        float64 // fraction of the requests that are short
	longPromptTokens  float64 // median
	longOutputTokens  float64 // median
	shortPromptTokens float64 // median
	shortOutputTokens float64 // median
	// stragglerShare is the fraction of the long requests whose output is several times longer.
	stragglerShare float64
	// sharedBlocks is the length of each of the two shared prefixes of a prompt, in blocks: the prefix that all
	// requests of an account share, and the one that all its requests on a subject share.
	sharedBlocks int
}

// deployments holds the simulated deployments by name.
var deployments = map[string]deployment{
	DeploymentAgencia: {
		name: DeploymentAgencia, engines: 24, domains: []string{"petrolina", "juazeiro", "caruaru"},
		networkDelay: time.Millisecond, clientDelay: time.Millisecond,
		requests: requestMix{
			shortShare: 0.3, longPromptTokens: 1200, longOutputTokens: 600, shortPromptTokens: 200, shortOutputTokens: 40,
			stragglerShare: 0.03, sharedBlocks: 8,
		},
	},
	DeploymentMebelcheta: {
		name: DeploymentMebelcheta, engines: 36, domains: []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"},
		networkDelay: 500 * time.Microsecond, clientDelay: 3 * time.Millisecond,
		requests: requestMix{
			shortShare: 0.4, longPromptTokens: 700, longOutputTokens: 700, shortPromptTokens: 150, shortOutputTokens: 30,
			stragglerShare: 0.03, sharedBlocks: 4,
		},
	},
}

// accountTrafficShares are the fractions of all requests that each client account sends: a few large and several small
// accounts.
var accountTrafficShares = []float64{0.30, 0.22, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03, 0.02, 0.01}

// Run simulates the scenario with each routing policy on the same requests and returns the metrics; the same options
// give the same report. It returns an error if the scenario or the deployment is unknown.
func Run(o Options) (*Report, error) {
	d, ok := deployments[o.Deployment]
	if !ok {
		return nil, eris.Errorf("unknown deployment %q", o.Deployment)
	}
	if o.NewDetector == nil {
		o.NewDetector = func() StallDetector { return &adaptiveDetector{} }
	}
	r := &Report{Scenario: o.Scenario, Deployment: o.Deployment, Seed: o.Seed}
	switch o.Scenario {
	case ScenarioResume:
		r.Policies = runResume(o, d)
	case ScenarioOverload:
		r.Policies = runOverload(o, d)
	case ScenarioBlocking:
		r.Policies = runBlocking(o, d)
	case ScenarioSlowEngines:
		r.Policies = runSlowEngines(o, d)
	case ScenarioCrashWaves:
		r.Policies = runCrashWaves(o, d)
	default:
		return nil, eris.Errorf("unknown scenario %q", o.Scenario)
	}
	return r, nil
}
