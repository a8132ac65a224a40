// Package load runs a scenario against a site: open-loop arrivals, batch jobs and
// faults at set times. It runs the same scenario with several policies at the same
// time and reports their latencies and throughput as a table, JSON and SVG plots.
package load

import (
	"os"
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// ErrScenario is the type of errors in a scenario file and of failures to report a
// run.
var ErrScenario = protocol.Errors.NewType("scenario")

// Scenario is the content of a scenario file.
type Scenario struct {
	Name string `toml:"name"`
	// Seed determines arrivals, sizes and prompts.
	Seed     uint64            `toml:"seed"`
	Duration settings.Duration `toml:"duration"`
	// WarmUp is the initial time whose requests are not recorded.
	WarmUp   settings.Duration `toml:"warm_up"`
	Site     Site              `toml:"site"`
	Requests []Requests        `toml:"requests"`
	Jobs     []Job             `toml:"job"`
	Faults   []Fault           `toml:"fault"`
	Policies []Policy          `toml:"policy"`
}

// Site describes the fleet.
type Site struct {
	Entries int `toml:"entries"`
	// Engines and Services are the numbers of model and booking targets.
	Engines  int `toml:"engines"`
	Services int `toml:"services"`
	// Slots is the number of requests that a target runs concurrently.
	Slots       int               `toml:"slots"`
	TokenTime   settings.Duration `toml:"token_time"`
	PrefillTime settings.Duration `toml:"prefill_time"`
	CacheTokens int               `toml:"cache_tokens"`
	ReportLag   settings.Duration `toml:"report_lag"`
	// RestartTime is how long a crashed engine takes to restart.
	RestartTime settings.Duration `toml:"restart_time"`
	DataCentres int               `toml:"data_centres"`
	// Between and Callers are the one-way delays between data centres and to
	// callers.
	Between settings.Duration `toml:"between"`
	Callers settings.Duration `toml:"callers"`
}

// Requests is a stream of online requests.
type Requests struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	// Rate is the mean number of arrivals per second.
	Rate float64 `toml:"rate"`
	// BurstRate replaces Rate during the last BurstTime of every BurstEvery.
	BurstRate  float64           `toml:"burst_rate"`
	BurstEvery settings.Duration `toml:"burst_every"`
	BurstTime  settings.Duration `toml:"burst_time"`
	// Tokens is the number of tokens of an answer.
	Tokens int `toml:"tokens"`
	// LongShare is the share of requests with LongFactor times as many tokens.
	LongShare  float64 `toml:"long_share"`
	LongFactor int     `toml:"long_factor"`
	// Prefixes is the number of shared prompt prefixes of PrefixWords words, drawn
	// from a Zipf distribution with exponent Skew.
	Prefixes    int     `toml:"prefixes"`
	PrefixWords int     `toml:"prefix_words"`
	Skew        float64 `toml:"skew"`
}

// Job is a batch job submitted at a set time.
type Job struct {
	At         settings.Duration `toml:"at"`
	Items      int               `toml:"items"`
	Tokens     int               `toml:"tokens"`
	LongShare  float64           `toml:"long_share"`
	LongFactor int               `toml:"long_factor"`
	Due        settings.Duration `toml:"due"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultSlow multiplies the processing times of some engines by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCrash crashes some engines once.
	FaultCrash FaultKind = "crash"
	// FaultCut isolates the last data centre from the others.
	FaultCut FaultKind = "cut"
)

// Fault is a fault injected at a set time.
type Fault struct {
	Kind    FaultKind         `toml:"kind"`
	At      settings.Duration `toml:"at"`
	For     settings.Duration `toml:"for"`
	Targets int               `toml:"targets"`
	Factor  float64           `toml:"factor"`
}

// Policy is one configuration of the site to compare with others.
type Policy struct {
	Name string `toml:"name"`
	// NoJobs omits the scenario's jobs, for a run without batch work.
	NoJobs bool `toml:"no_jobs"`
	// NoFaults omits the scenario's faults.
	NoFaults bool `toml:"no_faults"`
	// NoLong omits the long requests.
	NoLong   bool            `toml:"no_long"`
	Settings settings.Policy `toml:"settings"`
}

// LoadScenario reads a scenario file. It fails with ErrScenario.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrScenario.Wrap(err, "read scenario")
	}
	return ParseScenario(data)
}

// ParseScenario decodes and checks a scenario.
func ParseScenario(data []byte) (*Scenario, error) {
	s := Scenario{Seed: 1, Site: Site{Entries: 2, Slots: 8, DataCentres: 1}}
	if faults, _ := settings.DecodeStrict(data, &s); len(faults) > 0 {
		return nil, ErrScenario.New("%s", strings.Join(faults, "\n"))
	}
	return &s, s.check()
}

func (s *Scenario) check() error {
	switch {
	case s.Duration <= 0:
		return ErrScenario.New("duration must be above zero")
	case s.Site.Entries <= 0 || s.Site.Engines < 0 || s.Site.Slots <= 0 || s.Site.DataCentres <= 0:
		return ErrScenario.New("site needs entries, slots and data_centres above zero")
	case len(s.Policies) == 0:
		return ErrScenario.New("at least one policy is required")
	}
	for i := range s.Policies {
		if err := s.Policies[i].Settings.Validate(); err != nil {
			return ErrScenario.Wrap(err, "policy %q", s.Policies[i].Name)
		}
	}
	for _, r := range s.Requests {
		if r.Rate <= 0 || r.Service == "" {
			return ErrScenario.New("requests %q need a service and a rate above zero", r.Name)
		}
		if r.Prefixes > 0 && r.Skew <= 1 {
			return ErrScenario.New("requests %q: skew must be above one", r.Name)
		}
	}
	for _, f := range s.Faults {
		if f.Kind != FaultSlow && f.Kind != FaultCrash && f.Kind != FaultCut {
			return ErrScenario.New("fault %q is unknown", f.Kind)
		}
	}
	return nil
}

// duration converts a duration of the settings.
func duration(d settings.Duration) time.Duration { return time.Duration(d) }
