package bench

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// The scenarios.
const (
	ScenarioResume   = "resume"
	ScenarioCrest    = "crest"
	ScenarioBlocking = "blocking"
	ScenarioSlowed   = "slowed"
	ScenarioWaves    = "waves"
)

// The deployments.
const (
	DeploymentAgencia    = "agencia"
	DeploymentMebelcheta = "mebelcheta"
)

// Scenarios lists the scenarios.
var Scenarios = []string{ScenarioResume, ScenarioCrest, ScenarioBlocking, ScenarioSlowed, ScenarioWaves}

// Deployments lists the deployments.
var Deployments = []string{DeploymentAgencia, DeploymentMebelcheta}

// Options say what to run.
type Options struct {
	Scenario   string
	Deployment string
	Seed       uint64
	// Detector makes the stall detector of one stream; nil means a simple adaptive one.
	Detector func() Detector
	// Policies are the policies to run; empty means all.
	Policies []string
}

func (o Options) plans() []plan {
	if len(o.Policies) == 0 {
		return plans
	}
	var out []plan
	for _, p := range plans {
		if slices.Contains(o.Policies, p.name) {
			out = append(out, p)
		}
	}
	return out
}

// routers is the number of entry instances of each user.
const routers = 8

// deployment holds what differs between the users.
type deployment struct {
	name    string
	engines int
	domains []string
	hop     time.Duration // one way between two failure domains
	client  time.Duration // one way between a client and a router
	mix     mix
}

// mix is the mix of requests.
type mix struct {
	short       float64 // part of the requests that are short
	longPrompt  float64 // median tokens
	longOutput  float64 // median tokens
	shortPrompt float64 // median tokens
	shortOutput float64 // median tokens
	// straggler is the part of the long requests whose output is several times longer.
	straggler float64
	// shared is the length, in blocks, of the prompt part that the requests of an account or a subject share.
	shared int
}

var deployments = map[string]deployment{
	DeploymentAgencia: {
		name: DeploymentAgencia, engines: 24, domains: []string{"petrolina", "juazeiro", "caruaru"},
		hop: time.Millisecond, client: time.Millisecond,
		mix: mix{
			short: 0.3, longPrompt: 1200, longOutput: 600, shortPrompt: 200, shortOutput: 40,
			straggler: 0.03, shared: 8,
		},
	},
	DeploymentMebelcheta: {
		name: DeploymentMebelcheta, engines: 36, domains: []string{"plovdiv-a", "plovdiv-b", "plovdiv-c"},
		hop: 500 * time.Microsecond, client: 3 * time.Millisecond,
		mix: mix{
			short: 0.4, longPrompt: 700, longOutput: 700, shortPrompt: 150, shortOutput: 30,
			straggler: 0.03, shared: 4,
		},
	},
}

// accountParts are the parts of the requests that the accounts send: a few large accounts and several small ones.
var accountParts = []float64{0.30, 0.22, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03, 0.02, 0.01}

// Run runs the scenario with each policy on the same arrivals and returns the figures; the same options give the same
// report.
func Run(o Options) (*Report, error) {
	d, ok := deployments[o.Deployment]
	if !ok {
		return nil, eris.Errorf("unknown deployment %q", o.Deployment)
	}
	if o.Detector == nil {
		o.Detector = func() Detector { return &adaptive{} }
	}
	r := &Report{Scenario: o.Scenario, Deployment: o.Deployment, Seed: o.Seed}
	switch o.Scenario {
	case ScenarioResume:
		r.Policies = runResume(o, d)
	case ScenarioCrest:
		r.Policies = runCrest(o, d)
	case ScenarioBlocking:
		r.Policies = runBlocking(o, d)
	case ScenarioSlowed:
		r.Policies = runSlowed(o, d)
	case ScenarioWaves:
		r.Policies = runWaves(o, d)
	default:
		return nil, eris.Errorf("unknown scenario %q", o.Scenario)
	}
	return r, nil
}
