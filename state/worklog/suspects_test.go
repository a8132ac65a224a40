package worklog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func crash(fingerprint, target string, produced bool) Entry {
	return Entry{Crash: &Crash{Fingerprint: fingerprint, Target: target, Produced: produced}}
}

// TestSuspects convicts a request at the third crash before any output, or at the
// fifth; the same crash told by several counts once, and a run to the end clears.
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
	assert.Equal(t, len(l.fold().SuspectDeletions(now)), 0, "its last crash is not older")
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
	assert.Equal(t, of("long"), Suspicion{}, "what was cleared does not come back")
	assert.Equal(t, len(l.newest()), 0, "nothing stays in the log")
	l.put(b, crash("long", "t6", false))
	assert.Equal(t, of("long"), Suspicion{Crashes: 1}, "crashes before the run to the end don't count")
}
