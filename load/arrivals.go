package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Arrival is one request to come.
type Arrival struct {
	// At is the intended start, from the beginning of the run.
	At      time.Duration
	Stream  string
	Service string
	Prompt  string
	Tokens  int
	Long    bool
}

// Arrivals draws the scenario's requests in order of time. The same scenario
// gives the same arrivals.
func Arrivals(s *Scenario, noLong bool) []Arrival {
	var all []Arrival
	for i := range s.Requests {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		all = append(all, drawArrivals(&s.Requests[i], rng, duration(s.Duration), noLong)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func drawArrivals(r *Requests, rng *rand.Rand, length time.Duration, noLong bool) []Arrival {
	var zipf *rand.Zipf
	if r.Prefixes > 0 {
		zipf = rand.NewZipf(rng, r.Skew, 1, uint64(r.Prefixes-1))
	}
	var drawn []Arrival
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / r.rateAt(at) * float64(time.Second))
		if at >= length {
			return drawn
		}
		a := Arrival{At: at, Stream: r.Name, Service: r.Service, Tokens: r.Tokens}
		a.Long = rng.Float64() < r.LongShare
		a.Prompt = prompt(r, zipf, n)
		if a.Long && noLong {
			continue
		}
		if a.Long {
			a.Tokens *= r.LongFactor
		}
		drawn = append(drawn, a)
	}
}

// rateAt returns the arrivals a second at a time of the run.
func (r *Requests) rateAt(at time.Duration) float64 {
	every := duration(r.BurstEvery)
	if every > 0 && at%every >= every-duration(r.BurstTime) {
		return r.BurstRate
	}
	return r.Rate
}

// prompt builds the prompt of request n: a shared prefix and words of its own.
func prompt(r *Requests, zipf *rand.Zipf, n int) string {
	own := fmt.Sprintf("request %s %d", r.Name, n)
	if zipf == nil {
		return own
	}
	prefix := fmt.Sprintf("%s-%d ", r.Name, zipf.Uint64())
	return strings.Repeat(prefix, r.PrefixWords) + own
}
