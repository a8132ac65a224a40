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
