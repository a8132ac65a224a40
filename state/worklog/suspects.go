package worklog

import (
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/crashlimit"
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
	// Quarantined requests reach no target any more.
	Quarantined bool
}

// suspect is a request that was in flight at crashes.
type suspect struct {
	// producedOn holds whether the request had brought output there; it is empty once the
	// request was cleared.
	producedOn map[string]bool
	// keys are those of all records about the request, also of crashes before it was
	// cleared: without the one that clears, these would count again.
	keys map[string]bool
	// changedAt is when the last of the crashes, or that it was cleared, became known to
	// this process.
	changedAt time.Time
}

func (s *suspect) suspicion() Suspicion {
	productive := 0
	for _, produced := range s.producedOn {
		if produced {
			productive++
		}
	}
	return Suspicion{Crashes: len(s.producedOn), Quarantined: crashlimit.Reached(len(s.producedOn), productive)}
}

// suspects are the requests that were in flight at crashes, by their fingerprints.
type suspects struct {
	byFingerprint map[string]*suspect
	// version grows with each change.
	version int
}

// crashPrefix begins the keys of records about crashes: a key for each request and
// target, so that copies by several writers are one record, and one for each request
// that was cleared.
const (
	crashPrefix   = "crash/"
	clearedSuffix = "cleared"
)

func crashKey(fingerprint, target string) string { return crashPrefix + fingerprint + "/" + target }

func (s *suspects) addCrash(now time.Time, key string, c *Crash) {
	known := s.byFingerprint[c.Fingerprint]
	if known == nil {
		if len(s.byFingerprint) >= maxSuspects {
			return
		}
		known = &suspect{producedOn: map[string]bool{}, keys: map[string]bool{}}
		s.byFingerprint[c.Fingerprint] = known
	}
	if _, told := known.producedOn[c.Target]; !told {
		known.changedAt = now
	}
	known.producedOn[c.Target] = c.Produced
	known.keys[key] = true
	s.version++
}

func (s *suspects) clear(now time.Time, key, fingerprint string) {
	known := s.byFingerprint[fingerprint]
	if known == nil {
		known = &suspect{keys: map[string]bool{}}
		s.byFingerprint[fingerprint] = known
	}
	known.producedOn = map[string]bool{}
	known.keys[key] = true
	known.changedAt = now
	s.version++
}

// SuspectsVersion returns a number that changes with Suspects.
func (f *Fold) SuspectsVersion() int { return f.suspects.version }

// Suspects returns the requests that were in flight at crashes, by their fingerprints.
func (f *Fold) Suspects() map[string]Suspicion {
	found := make(map[string]Suspicion, len(f.suspects.byFingerprint))
	for fingerprint, s := range f.suspects.byFingerprint {
		if len(s.producedOn) > 0 {
			found[fingerprint] = s.suspicion()
		}
	}
	return found
}

// SuspectDeletions returns the records that delete what is known of requests whose last
// crash became known before the time.
func (f *Fold) SuspectDeletions(before time.Time) []fleet.Record {
	var gone []fleet.Record
	for _, s := range f.suspects.byFingerprint {
		if !s.changedAt.Before(before) {
			continue
		}
		for key := range s.keys {
			gone = append(gone, fleet.Record{Key: key})
		}
	}
	return gone
}

// applyDeletion drops the request that the key of a deleted record names. It reports
// false for another kind of key.
func (s *suspects) applyDeletion(key string) bool {
	rest, found := strings.CutPrefix(key, crashPrefix)
	if found {
		fingerprint, _, _ := strings.Cut(rest, "/")
		delete(s.byFingerprint, fingerprint)
		s.version++
	}
	return found
}
