package timeline

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// heapBytes returns the bytes that build's value holds on the heap.
func heapBytes(build func() any) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return after.HeapAlloc - before.HeapAlloc
}

// fullRing adds twice as many events as fit, each with four values of a length.
func fullRing(length int) any {
	r := NewRing("instance", NewClock(time.Now), DefaultRingSize)
	for i := range 2 * DefaultRingSize {
		value := strings.Repeat("v", length)
		r.Add(fmt.Sprintf("%032d", i), "attempt failed", "attempt", value+"1", "target", value+"2", "error", value+"3", "job", value+"4")
	}
	return r
}

// TestRingIsBounded checks the bytes of a full ring against the bound that
// maxFieldBytes sets, also where values are a mebibyte long.
func TestRingIsBounded(t *testing.T) {
	const fields, eventOverhead = 4, 1024
	const bound = DefaultRingSize * (fields*maxFieldBytes + eventOverhead)
	for _, length := range []int{24, maxFieldBytes, 64 << 10} {
		bytes := heapBytes(func() any { return fullRing(length) })
		t.Logf("values of %d bytes: %d bytes in all, %d an event", length, bytes, bytes/DefaultRingSize)
		assert.Assert(t, bytes <= bound, "%d bytes above %d", bytes, bound)
	}
}

func TestEventsLimit(t *testing.T) {
	r := NewRing("a", NewClock(time.Now), 4)
	for i := range 6 {
		r.Add("t", fmt.Sprint(i))
	}
	tests := map[string]struct {
		args  protocol.EventsArgs
		first string
		count int
		cut   bool
	}{
		"all":        {protocol.EventsArgs{}, "2", 4, false},
		"newest two": {protocol.EventsArgs{Limit: 2}, "4", 2, true},
		"as many":    {protocol.EventsArgs{Limit: 4}, "2", 4, false},
		"of a trace": {protocol.EventsArgs{Trace: "t", Limit: 3}, "3", 3, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			events, cut := r.Events(test.args)
			assert.Equal(t, cut, test.cut)
			assert.Equal(t, len(events), test.count)
			assert.Equal(t, events[0].Name, test.first)
		})
	}
	none, cut := r.Events(protocol.EventsArgs{Trace: "other"})
	assert.Equal(t, len(none), 0)
	assert.Assert(t, !cut)
}

// TestEventsOfATrace checks that a trace has the events of its attempts' slots,
// and none of others.
func TestEventsOfATrace(t *testing.T) {
	r := NewRing("a", NewClock(time.Now), 16)
	r.Add("", SlotWaiting, "attempt", "1", "target", "x")
	r.Add("t", "attempt admitted", "attempt", "1")
	r.Add("", SlotGranted, "attempt", "2")
	r.Add("u", "attempt admitted", "attempt", "2")
	r.Add("", SlotGranted, "attempt", "3")
	r.Add("t", "item started", "lease", "3")
	r.Add("", "leaving")
	events, _ := r.Events(protocol.EventsArgs{Trace: "t"})
	var names []string
	for _, e := range events {
		names = append(names, e.Name)
	}
	assert.DeepEqual(t, names, []string{SlotWaiting, "attempt admitted", SlotGranted, "item started"})
	none, _ := r.Events(protocol.EventsArgs{Trace: "none"})
	assert.Equal(t, len(none), 0)
}
