package history

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
)

func slotEvent(name, attempt string, class protocol.Class) protocol.Event {
	return protocol.Event{Name: name, Fields: map[string]string{"attempt": attempt, "target": "t", "class": string(class)}}
}

func TestCheckPriority(t *testing.T) {
	batch := slotEvent(timeline.SlotGranted, "b", protocol.ClassBatch)
	waits := slotEvent(timeline.SlotWaiting, "o", "")
	preempted := slotEvent(timeline.BatchPreempted, "b", "")
	freed := slotEvent(timeline.SlotFreed, "b", "")
	online := slotEvent(timeline.SlotGranted, "o", protocol.ClassOnline)
	lost := slotEvent(timeline.SlotLost, "b", "")
	cases := []struct {
		name   string
		events []protocol.Event
		want   string
	}{
		{"preempted", []protocol.Event{batch, waits, preempted, freed, online}, ""},
		{"lost slot", []protocol.Event{batch, waits, preempted, lost, freed, online}, ""},
		{"not preempted", []protocol.Event{batch, waits, freed, online}, "0 of 1 batch attempts preempted"},
		{"not started", []protocol.Event{batch, waits, preempted, freed}, "1 online attempts wait while 0 of 1"},
		{"batch admitted first", []protocol.Event{batch, waits, preempted, freed, batch}, "admitted while 1 online"},
		{"too many slots held", []protocol.Event{batch, online}, "2 of 1 slots held"},
		{"unknown preempted", []protocol.Event{preempted}, "is not a batch attempt"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := CheckPriority(c.events, "t", 1)
			if c.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, c.want)
		})
	}
}
