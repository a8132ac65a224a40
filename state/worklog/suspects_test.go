package worklog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func crash(fingerprint, target string, produced bool) Entry {
	return Entry{Crash: &Crash{Fingerprint: fingerprint, Target: target, Produced: produced}}
}

// TestSuspects checks that a request is quarantined at the third crash before any output,
// or at the fifth crash in total, that a crash reported by several writers counts once,
// and that a completed run clears the request.
func TestSuspects(t *testing.T) {
	l := &log{t: t}
	a, b := NewWriter("a"), NewWriter("b")
	of := func(fingerprint string) Suspicion {
		live := l.fold().Suspects()
		restarted := NewFold()
		restarted.Apply(now, l.newest())
		again := restarted.Suspects()
		assert.DeepEqual(t, live, again)
		return live[fingerprint]
	}
	l.put(a, crash("p", "t1", false))
	l.put(b, crash("p", "t1", false))
	l.put(a, crash("p", "t2", false))
	assert.Equal(t, of("p"), Suspicion{Crashes: 2})
	l.put(a, crash("p", "t3", false))
	assert.Equal(t, of("p"), Suspicion{Crashes: 3, Quarantined: true})
	assert.Equal(t, len(l.fold().SuspectDeletions(now)), 0, "the last crash is not before the given time")
	l.append(l.fold().SuspectDeletions(now.Add(time.Second)))
	assert.Equal(t, of("p"), Suspicion{})
	for _, target := range []string{"t1", "t2", "t3", "t4"} {
		l.put(a, crash("long", target, true))
	}
	assert.Equal(t, of("long"), Suspicion{Crashes: 4})
	l.put(a, crash("long", "t5", true))
	assert.Assert(t, of("long").Quarantined)
	l.put(b, Entry{Cleared: &Cleared{Fingerprint: "long"}})
	assert.Equal(t, of("long"), Suspicion{})
	l.append(l.fold().SuspectDeletions(now.Add(time.Second)))
	assert.Equal(t, of("long"), Suspicion{}, "crashes before the clearing must not count again")
	assert.Equal(t, len(l.newest()), 0, "no record may stay in the log")
	l.put(b, crash("long", "t6", false))
	assert.Equal(t, of("long"), Suspicion{Crashes: 1}, "crashes before the completed run must not count")
}

// TestCompletedRunClearsThePartsOfItsPrompt checks that crashes before a part was cleared do
// not count for it, in a process that reads the log later as well, and that no record of it
// stays in the log.
func TestCompletedRunClearsThePartsOfItsPrompt(t *testing.T) {
	l := &log{t: t}
	w := NewWriter("a")
	suspected := func() map[string]bool {
		live := l.fold().JudgeParts()
		restarted := NewFold()
		restarted.Apply(now, l.newest())
		assert.DeepEqual(t, live, restarted.JudgeParts())
		return live.Suspected
	}
	for _, target := range []string{"t1", "t2", "t3"} {
		l.put(w, Entry{Crash: &Crash{Fingerprint: "f" + target, Target: target, Parts: []string{"first", "x"}}})
	}
	assert.DeepEqual(t, suspected(), map[string]bool{"first": true, "x": true})
	l.put(w, Entry{PartCleared: &PartCleared{Part: "first"}})
	assert.DeepEqual(t, suspected(), map[string]bool{"x": true})
	l.put(w, Entry{Crash: &Crash{Fingerprint: "g", Target: "t4", Parts: []string{"first"}}})
	assert.DeepEqual(t, suspected(), map[string]bool{"x": true}) // one crash since the part was cleared
	l.append(l.fold().SuspectDeletions(now.Add(time.Second)))
	assert.Equal(t, len(suspected()), 0)
	assert.Equal(t, len(l.newest()), 0)
}

// TestQuarantineOfPartLastsUntilItIsCleared checks that a recorded quarantine holds for every
// process that reads the log, that clearing the part ends it, and that its record does not
// stay in the log.
func TestQuarantineOfPartLastsUntilItIsCleared(t *testing.T) {
	l := &log{t: t}
	w := NewWriter("a")
	quarantined := func() bool {
		live := l.fold().QuarantinedParts()
		restarted := NewFold()
		restarted.Apply(now, l.newest())
		assert.DeepEqual(t, live, restarted.QuarantinedParts())
		return live["x"]
	}
	l.put(w, Entry{PartCleared: &PartCleared{Part: "x"}})
	l.put(w, Entry{PartQuarantined: &PartQuarantined{Part: "x"}})
	assert.Assert(t, quarantined())
	l.put(w, Entry{PartCleared: &PartCleared{Part: "x"}})
	assert.Assert(t, !quarantined())
	l.put(w, Entry{PartQuarantined: &PartQuarantined{Part: "x"}})
	l.append(l.fold().SuspectDeletions(now.Add(time.Second)))
	assert.Assert(t, !quarantined())
	assert.Equal(t, len(l.newest()), 0)
}
