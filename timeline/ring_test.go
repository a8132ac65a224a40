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

// heapOf returns the bytes that build's value holds on the heap.
func heapOf(build func() any) uint64 {
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
		bytes := heapOf(func() any { return fullRing(length) })
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
