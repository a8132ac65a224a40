package outbox_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/outbox"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// TestRecordsOutliveOutage adds records through an outage and lost answers: all
// are stored, in order, a lost one twice at most, and many in one call.
func TestRecordsOutliveOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		s.SetFaults(fleetstore.Faults{Down: true})
		o := outbox.New(s, fleet.TopicWork, 100)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Run(ctx) }()
		for i := range 10 {
			o.Add(fleet.Record{Key: fmt.Sprint(i), Value: []byte("some text of a result")})
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, o.Len(), 10)
		s.SetFaults(fleetstore.Faults{LoseAnswers: 1})
		time.Sleep(5 * time.Second)
		assert.Equal(t, o.Len(), 0)
		cancel()
		synctest.Wait()
		records, end, err := s.Newest(t.Context(), fleet.TopicWork)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 10)
		assert.Assert(t, end <= 14, "%d records", end)
	})
}
