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
	assert.Assert(t, p.TryAcquire(first, false), "the holder asks again")
	assert.Assert(t, !p.TryAcquire(second, false), "a copy waits")
	p.Release("f", "a", false)
	assert.Assert(t, p.TryAcquire(second, false), "the permit is free again")
	p.Release("f", "b", true)
	assert.Assert(t, p.TryAcquire(Holder{Fingerprint: "f", Attempt: "c", Instance: "z"}, false), "a proven call runs freely")
	assert.Assert(t, p.TryAcquire(Holder{Fingerprint: "f", Attempt: "d", Instance: "z"}, true), "a suspect holds a permit again")
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

func TestEndBeforeAsk(t *testing.T) {
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
	assert.Equal(t, len(p.Holders("f0")), 1, "a new grant outlives the old one of its call")
	assert.Equal(t, len(p.calls), maxCalls)
	assert.Assert(t, p.TryAcquire(of(maxCalls), false))
	assert.Equal(t, len(p.calls), maxCalls)
	assert.Equal(t, len(p.Holders("f1")), 0, "the oldest is forgotten")
}

func TestRecentIsBounded(t *testing.T) {
	r := NewRecentSet(10)
	for i := range 100 {
		r.Add(fmt.Sprint(i))
	}
	assert.Equal(t, len(r.members), 10)
	assert.Equal(t, len(r.order), 10)
}

// TestGate checks for any order of arrivals and departures that a suspect is
// inside alone, and that what waits is admitted in order of arrival.
func TestGate(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		g := NewAdmissionQueue()
		inside, alone := map[string]bool{}, map[string]bool{}
		var queue []string
		admitted := func(ids []string) {
			for _, id := range ids {
				if len(queue) == 0 || queue[0] != id {
					t.Fatalf("%s admitted before %v", id, queue)
				}
				queue = queue[1:]
				inside[id] = true
			}
			for id := range inside {
				if alone[id] && len(inside) > 1 {
					t.Fatalf("suspect %s is inside with %v", id, inside)
				}
			}
			if len(inside) == 0 && len(queue) > 0 {
				t.Fatalf("%v wait before an empty target", queue)
			}
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			id := fmt.Sprint(i)
			if rapid.Bool().Draw(t, "arrive") {
				alone[id] = rapid.IntRange(0, 3).Draw(t, "alone") == 0
				queue = append(queue, id)
				admitted(g.Enqueue(id, alone[id]))
				continue
			}
			all := append([]string(nil), queue...)
			for in := range inside {
				all = append(all, in)
			}
			if len(all) == 0 {
				continue
			}
			slices.Sort(all)
			leaver := rapid.SampledFrom(all).Draw(t, "leaver")
			delete(inside, leaver)
			queue = slices.DeleteFunc(queue, func(id string) bool { return id == leaver })
			admitted(g.Remove(leaver))
		}
	})
}
