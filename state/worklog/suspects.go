package worklog

import (
	"slices"
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
	// Parts are the shared parts of the request's prompt, in their order. SuspectedParts
	// are those that the writer knew to be suspected when the run began.
	Parts          []string `msgpack:"a,omitempty"`
	SuspectedParts []string `msgpack:"s,omitempty"`
}

// Cleared records that a request ran to completion, so that it did not cause the crashes
// before.
type Cleared struct {
	Fingerprint string `msgpack:"f"`
}

// PartCleared records that a request with the part in its prompt ran to completion, so that
// the part did not cause the crashes before.
type PartCleared struct {
	Part string `msgpack:"p"`
}

// PartQuarantined records that requests with the part in their prompts must not be sent to
// targets any more, until the part is cleared.
type PartQuarantined struct {
	Part string `msgpack:"p"`
}

// Suspicion is what is known of a request that was in flight at crashes.
type Suspicion struct {
	Crashes int
	// Quarantined requests are not sent to targets any more.
	Quarantined bool
}

// suspect is a request that was in flight at crashes.
type suspect struct {
	// crashes holds the crashes by target. It is empty once the request was cleared.
	crashes map[string]crashRecord
	// keys holds the keys of all records about the request, including crashes before it
	// was cleared: these would count again if only the clearing record were deleted.
	keys map[string]bool
	// changedAt is when this process learned of the last crash, or that the request was
	// cleared.
	changedAt time.Time
}

// crashRecord is the newest record of a crash, at its offset in the log.
type crashRecord struct {
	*Crash
	offset int64
}

// partRecord is the newest record that quarantines or clears a part.
type partRecord struct {
	quarantined bool
	offset      int64
	changedAt   time.Time
}

func (s *suspect) suspicion() Suspicion {
	productive := 0
	for _, c := range s.crashes {
		if c.Produced {
			productive++
		}
	}
	return Suspicion{Crashes: len(s.crashes), Quarantined: crashlimit.Reached(len(s.crashes), productive)}
}

// suspects holds the requests that were in flight at crashes.
type suspects struct {
	byFingerprint map[string]*suspect
	// parts holds the parts of prompts that were quarantined or cleared. Crashes before a
	// part was cleared do not count for it.
	parts map[string]partRecord
	// version is incremented by each change.
	version int
}

// crashPrefix is the prefix of the keys of records about crashes. There is one key for
// each request and target, so that reports of the same crash by several writers replace
// each other, and one key with clearedSuffix for each request that was cleared.
const (
	crashPrefix   = "crash/"
	clearedSuffix = "cleared"
	// partPrefix is the prefix of the keys of records that quarantine or clear a part, each
	// of which replaces the one before.
	partPrefix = "part/"
)

func crashKey(fingerprint, target string) string { return crashPrefix + fingerprint + "/" + target }

func partKey(part string) string { return partPrefix + part }

func newSuspects() suspects {
	return suspects{byFingerprint: map[string]*suspect{}, parts: map[string]partRecord{}}
}

func (s *suspects) addCrash(now time.Time, r fleet.Record, c *Crash) {
	known := s.byFingerprint[c.Fingerprint]
	if known == nil {
		if len(s.byFingerprint) >= maxSuspects {
			return
		}
		known = &suspect{crashes: map[string]crashRecord{}, keys: map[string]bool{}}
		s.byFingerprint[c.Fingerprint] = known
	}
	if _, reported := known.crashes[c.Target]; !reported {
		known.changedAt = now
	}
	known.crashes[c.Target] = crashRecord{c, r.Offset}
	known.keys[r.Key] = true
	s.version++
}

func (s *suspects) clear(now time.Time, key, fingerprint string) {
	known := s.byFingerprint[fingerprint]
	if known == nil {
		known = &suspect{keys: map[string]bool{}}
		s.byFingerprint[fingerprint] = known
	}
	known.crashes = map[string]crashRecord{}
	known.keys[key] = true
	known.changedAt = now
	s.version++
}

// setPart records that the part is quarantined or cleared.
func (s *suspects) setPart(now time.Time, r fleet.Record, part string, quarantined bool) {
	s.parts[part] = partRecord{quarantined, r.Offset, now}
	s.version++
}

// isCleared reports whether the part was cleared at or after the offset.
func (s *suspects) isCleared(part string, offset int64) bool {
	record, found := s.parts[part]
	return found && !record.quarantined && record.offset >= offset
}

// uncleared returns the parts of the crash's request that were not cleared since.
func (s *suspects) uncleared(c crashRecord) []string {
	return slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool { return s.isCleared(part, c.offset) })
}

// partHistory returns the parts that were cleared or quarantined.
func (s *suspects) partHistory() crashlimit.PartHistory {
	h := crashlimit.PartHistory{Cleared: map[string]bool{}, Quarantined: map[string]bool{}}
	for part, record := range s.parts {
		if record.quarantined {
			h.Quarantined[part] = true
		} else {
			h.Cleared[part] = true
		}
	}
	return h
}

// SuspectsVersion returns a number that changes whenever the result of Suspects or
// JudgeParts may change.
func (f *Fold) SuspectsVersion() int { return f.suspects.version }

// Suspects returns the requests that were in flight at crashes, by fingerprint.
func (f *Fold) Suspects() map[string]Suspicion {
	found := make(map[string]Suspicion, len(f.suspects.byFingerprint))
	for fingerprint, s := range f.suspects.byFingerprint {
		if len(s.crashes) > 0 {
			found[fingerprint] = s.suspicion()
		}
	}
	return found
}

// JudgeParts returns the parts of prompts to which the crashes point.
func (f *Fold) JudgeParts() crashlimit.PartVerdicts {
	var runs []crashlimit.Run
	for fingerprint, s := range f.suspects.byFingerprint {
		for target, c := range s.crashes {
			runs = append(runs, crashlimit.Run{
				Request: fingerprint, Target: target, Parts: f.suspects.uncleared(c), Suspected: c.SuspectedParts,
			})
		}
	}
	return crashlimit.JudgeParts(runs, f.suspects.partHistory())
}

// QuarantinedParts returns the parts of prompts that must not be sent to targets.
func (f *Fold) QuarantinedParts() map[string]bool { return f.suspects.partHistory().Quarantined }

// SuspectDeletions returns the records that delete all records about requests whose last
// crash or clearing became known before the given time, and those about parts that were
// quarantined or cleared before it.
func (f *Fold) SuspectDeletions(before time.Time) []fleet.Record {
	var deletions []fleet.Record
	// needed holds the parts whose clearing must still outweigh an earlier crash.
	needed := map[string]bool{}
	for _, s := range f.suspects.byFingerprint {
		if s.changedAt.Before(before) {
			for key := range s.keys {
				deletions = append(deletions, fleet.Record{Key: key})
			}
			continue
		}
		for _, c := range s.crashes {
			for _, part := range c.Parts {
				needed[part] = needed[part] || f.suspects.isCleared(part, c.offset)
			}
		}
	}
	for part, record := range f.suspects.parts {
		if record.changedAt.Before(before) && !needed[part] {
			deletions = append(deletions, fleet.Record{Key: partKey(part)})
		}
	}
	return deletions
}

// applyDeletion drops the request or the part that the key of a deleted record
// refers to. It returns false for other kinds of keys.
func (s *suspects) applyDeletion(key string) bool {
	if part, found := strings.CutPrefix(key, partPrefix); found {
		delete(s.parts, part)
		s.version++
		return true
	}
	rest, found := strings.CutPrefix(key, crashPrefix)
	if found {
		fingerprint, _, _ := strings.Cut(rest, "/")
		delete(s.byFingerprint, fingerprint)
		s.version++
	}
	return found
}
