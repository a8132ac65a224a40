package worklog

import (
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/crashlimit"
)

// maxSuspects bounds the number of suspects; crashes of further requests are ignored.
const maxSuspects = 4096

// Crash records that a target crashed while it ran a request.
type Crash struct {
	// Fingerprint identifies the request by its content, whichever caller sent it.
	Fingerprint string `msgpack:"f"`
	// Target is the incarnation of the target that crashed. Produced is set if the
	// request had produced output there.
	Target   string `msgpack:"t"`
	Produced bool   `msgpack:"p"`
}

// Cleared records that a request ran to completion, so that it did not cause the crashes
// before.
type Cleared struct {
	Fingerprint string `msgpack:"f"`
}

// Suspicion is what is known of a request that was in flight at crashes.
type Suspicion struct {
	Crashes int
	// Quarantined requests are not sent to targets any more.
	Quarantined bool
}

// suspect is a request that was in flight at crashes.
type suspect struct {
	// producedOn holds, for each crashed target, whether the request had produced output
	// there. It is empty once the request was cleared.
	producedOn map[string]bool
	// keys holds the keys of all records about the request, including crashes before it
	// was cleared: these would count again if only the clearing record were deleted.
	keys map[string]bool
	// changedAt is when this process learned of the last crash, or that the request was
	// cleared.
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

// suspects holds the requests that were in flight at crashes.
type suspects struct {
	byFingerprint map[string]*suspect
	// version is incremented by each change.
	version int
}

// crashPrefix is the prefix of the keys of records about crashes. There is one key for
// each request and target, so that reports of the same crash by several writers replace
// each other, and one key with clearedSuffix for each request that was cleared.
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
	if _, reported := known.producedOn[c.Target]; !reported {
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

// SuspectsVersion returns a number that changes whenever the result of Suspects may
// change.
func (f *Fold) SuspectsVersion() int { return f.suspects.version }

// Suspects returns the requests that were in flight at crashes, by fingerprint.
func (f *Fold) Suspects() map[string]Suspicion {
	found := make(map[string]Suspicion, len(f.suspects.byFingerprint))
	for fingerprint, s := range f.suspects.byFingerprint {
		if len(s.producedOn) > 0 {
			found[fingerprint] = s.suspicion()
		}
	}
	return found
}

// SuspectDeletions returns the records that delete all records about requests whose last
// crash or clearing became known before the given time.
func (f *Fold) SuspectDeletions(before time.Time) []fleet.Record {
	var deletions []fleet.Record
	for _, s := range f.suspects.byFingerprint {
		if !s.changedAt.Before(before) {
			continue
		}
		for key := range s.keys {
			deletions = append(deletions, fleet.Record{Key: key})
		}
	}
	return deletions
}

// applyDeletion drops the request that the key of a deleted record refers to. It returns
// false for other kinds of keys.
func (s *suspects) applyDeletion(key string) bool {
	rest, found := strings.CutPrefix(key, crashPrefix)
	if found {
		fingerprint, _, _ := strings.Cut(rest, "/")
		delete(s.byFingerprint, fingerprint)
		s.version++
	}
	return found
}
