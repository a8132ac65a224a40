package quarantine

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPermits(t *testing.T) {
	p := NewPermits()
	first, second := Holder{Fingerprint: "f", Attempt: "a", Instance: "x"}, Holder{Fingerprint: "f", Attempt: "b", Instance: "y"}
	assert.Assert(t, p.TryAcquire(first, false))
	assert.Assert(t, p.TryAcquire(first, false), "the holder tries again")
	assert.Assert(t, !p.TryAcquire(second, false), "a copy waits")
	p.Release("f", "a", false)
	assert.Assert(t, p.TryAcquire(second, false), "the permit was released")
	p.Release("f", "b", true)
	assert.Assert(t, p.TryAcquire(Holder{Fingerprint: "f", Attempt: "c", Instance: "z"}, false), "a harmless call needs no permit")
	assert.Assert(t, p.TryAcquire(Holder{Fingerprint: "f", Attempt: "d", Instance: "z"}, true), "a suspect needs a permit again")
	assert.Assert(t, !p.TryAcquire(Holder{Fingerprint: "f", Attempt: "e", Instance: "z"}, true))
}

func TestHedgeHasItsOwnPermit(t *testing.T) {
	p := NewPermits()
	of := func(attempt, key string) Holder { return Holder{Fingerprint: "f", Attempt: attempt, Key: key} }
	assert.Assert(t, p.TryAcquire(of("a", "k"), false))
	assert.Assert(t, !p.TryAcquire(of("b", "other"), false))
	assert.Assert(t, p.TryAcquire(of("c", "k"), false), "a second attempt of the key")
	assert.Assert(t, !p.TryAcquire(of("d", "k"), false), "no third")
	p.Release("f", "a", false)
	assert.Assert(t, !p.TryAcquire(of("e", "k"), true), "a suspect has no hedge")
	assert.Equal(t, len(p.Holders("f")), 1)
}

func TestReleaseBeforeAcquire(t *testing.T) {
	p := NewPermits()
	p.Release("f", "late", false)
	assert.Assert(t, !p.TryAcquire(Holder{Fingerprint: "f", Attempt: "late", Instance: "x"}, false))
	assert.Assert(t, p.TryAcquire(Holder{Fingerprint: "f", Attempt: "next", Instance: "x"}, false))
}

func TestHoldersAreBounded(t *testing.T) {
	p := NewPermits()
	of := func(i int) Holder { return Holder{Fingerprint: fmt.Sprint("f", i), Attempt: fmt.Sprint("a", i)} }
	assert.Assert(t, p.TryAcquire(of(0), false))
	p.Release("f0", "a0", false)
	for i := 1; i < maxCalls; i++ {
		assert.Assert(t, p.TryAcquire(of(i), false))
	}
	again := Holder{Fingerprint: "f0", Attempt: "again"}
	assert.Assert(t, p.TryAcquire(again, false))
	assert.Equal(t, len(p.Holders("f0")), 1, "forgetting the old grant of a call keeps its new one")
	assert.Equal(t, len(p.calls), maxCalls)
	assert.Assert(t, p.TryAcquire(of(maxCalls), false))
	assert.Equal(t, len(p.calls), maxCalls)
	assert.Equal(t, len(p.Holders("f1")), 0, "the oldest is forgotten")
}

func TestRecentSetIsBounded(t *testing.T) {
	r := NewRecentSet(10)
	for i := range 100 {
		r.Add(fmt.Sprint(i))
	}
	assert.Equal(t, len(r.members), 10)
	assert.Equal(t, len(r.order), 10)
}

// TestAdmissionQueue checks for random sequences of arrivals and removals that a
// suspect runs exclusively, and that work is admitted in order of arrival.
func TestAdmissionQueue(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		q := NewAdmissionQueue()
		running, exclusive := map[string]bool{}, map[string]bool{}
		var queue []string
		admit := func(ids []string) {
			for _, id := range ids {
				if len(queue) == 0 || queue[0] != id {
					t.Fatalf("%s admitted before %v", id, queue)
				}
				queue = queue[1:]
				running[id] = true
			}
			for id := range running {
				if exclusive[id] && len(running) > 1 {
					t.Fatalf("suspect %s runs together with %v", id, running)
				}
			}
			if len(running) == 0 && len(queue) > 0 {
				t.Fatalf("%v wait although the target is idle", queue)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := fmt.Sprint(i)
			if rapid.Bool().Draw(t, "arrive") {
				exclusive[id] = rapid.IntRange(0, 3).Draw(t, "alone") == 0
				queue = append(queue, id)
				admit(q.Enqueue(id, exclusive[id]))
				continue
			}
			all := append([]string(nil), queue...)
			for id := range running {
				all = append(all, id)
			}
			if len(all) == 0 {
				continue
			}
			slices.Sort(all)
			removed := rapid.SampledFrom(all).Draw(t, "leaver")
			delete(running, removed)
			queue = slices.DeleteFunc(queue, func(id string) bool { return id == removed })
			admit(q.Remove(removed))
		}
	})
}
