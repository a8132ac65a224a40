package worklog

import (
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/conviction"
)

// maxSuspects bounds the suspects that are kept; further ones are not.
const maxSuspects = 4096

// Crash says that a target ended while it ran a request.
type Crash struct {
	// Fingerprint identifies the request by its content, whoever sends it.
	Fingerprint string `msgpack:"f"`
	// Target is the incarnation that ended, Produced whether the request had brought
	// output there.
	Target   string `msgpack:"t"`
	Produced bool   `msgpack:"p"`
}

// Cleared says that a request has run to its end, so that crashes before were not its
// doing.
type Cleared struct {
	Fingerprint string `msgpack:"f"`
}

// Suspicion is what is known of a request that was in flight at crashes.
type Suspicion struct {
	Crashes int
	// Convicted requests reach no target any more.
	Convicted bool
}

// suspect is a request that was in flight at crashes.
type suspect struct {
	// targets holds whether the request had brought output there; it is empty once the
	// request was cleared.
	targets map[string]bool
	// keys are those of all records about the request, also of crashes before it was
	// cleared: without the one that clears, these would count again.
	keys map[string]bool
	// last is when the last of the crashes, or that it was cleared, became known to
	// this process.
	last time.Time
}

func (s *suspect) suspicion() Suspicion {
	productive := 0
	for _, produced := range s.targets {
		if produced {
			productive++
		}
	}
	return Suspicion{Crashes: len(s.targets), Convicted: conviction.Convicted(len(s.targets), productive)}
}

// suspects are the requests that were in flight at crashes, by their fingerprints.
type suspects struct {
	known map[string]*suspect
	// version grows with each change.
	version int
}

// crashPrefix begins the keys of records about crashes: a key for each request and
// target, so that copies by several writers are one record, and one for each request
// that was cleared.
const (
	crashPrefix  = "crash/"
	clearedUnder = "cleared"
)

func crashKey(fingerprint, target string) string { return crashPrefix + fingerprint + "/" + target }

func (s *suspects) crash(now time.Time, key string, c *Crash) {
	known := s.known[c.Fingerprint]
	if known == nil {
		if len(s.known) >= maxSuspects {
			return
		}
		known = &suspect{targets: map[string]bool{}, keys: map[string]bool{}}
		s.known[c.Fingerprint] = known
	}
	if _, told := known.targets[c.Target]; !told {
		known.last = now
	}
	known.targets[c.Target] = c.Produced
	known.keys[key] = true
	s.version++
}

func (s *suspects) clear(now time.Time, key, fingerprint string) {
	known := s.known[fingerprint]
	if known == nil {
		known = &suspect{keys: map[string]bool{}}
		s.known[fingerprint] = known
	}
	known.targets = map[string]bool{}
	known.keys[key] = true
	known.last = now
	s.version++
}

// SuspectsVersion returns a number that changes with Suspects.
func (f *Fold) SuspectsVersion() int { return f.suspects.version }

// Suspects returns the requests that were in flight at crashes, by their fingerprints.
func (f *Fold) Suspects() map[string]Suspicion {
	found := make(map[string]Suspicion, len(f.suspects.known))
	for fingerprint, s := range f.suspects.known {
		if len(s.targets) > 0 {
			found[fingerprint] = s.suspicion()
		}
	}
	return found
}

// ForgetSuspects returns the records that delete what is known of requests whose last
// crash became known before the time.
func (f *Fold) ForgetSuspects(before time.Time) []fleet.Record {
	var gone []fleet.Record
	for _, s := range f.suspects.known {
		if !s.last.Before(before) {
			continue
		}
		for key := range s.keys {
			gone = append(gone, fleet.Record{Key: key})
		}
	}
	return gone
}

// forgetCrash drops the request that the key of a deleted record names. It reports
// false for another kind of key.
func (s *suspects) forgetCrash(key string) bool {
	rest, found := strings.CutPrefix(key, crashPrefix)
	if found {
		fingerprint, _, _ := strings.Cut(rest, "/")
		delete(s.known, fingerprint)
		s.version++
	}
	return found
}
