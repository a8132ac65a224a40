package batcher_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestCrashesOfAGatewayAreRecorded guards against crashes that no gateway hears of, since the one that saw them does
// not reach the store (review/14). Reports of one crash count once, and what can't be one is dropped.
func TestCrashesOfAGatewayAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		b := s.start("b", e)
		time.Sleep(time.Second)
		s.store.SetFaults(fleetstore.Faults{Down: true})
		for range 3 {
			b.RecordCrash(fleet.PeerCrash{Fingerprint: "f", Target: "t1@5"})
		}
		b.RecordCrash(fleet.PeerCrash{Fingerprint: "f", Target: "t2@6", Produced: true})
		for _, odd := range []fleet.PeerCrash{{}, {Fingerprint: "g"}, {Target: "t"}, {Fingerprint: strings.Repeat("g", 200), Target: "t"}, {Fingerprint: "g", Target: strings.Repeat("t", 300)}} {
			b.RecordCrash(odd)
		}
		for range 10_000 { // more than wait for the store
			b.RecordCrash(fleet.PeerCrash{Fingerprint: "f", Target: "t1@5"})
		}
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(10 * time.Second)
		records, _, err := s.store.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		fold := worklog.NewFold()
		fold.Apply(time.Now(), records)
		assert.DeepEqual(t, fold.Suspects(), map[string]worklog.Suspicion{"f": {Crashes: 2}})
		assert.NilError(t, b.Stop())
	})
}
