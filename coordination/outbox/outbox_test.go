package outbox_test

import (
	"context"
	"fmt"
	"strings"
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
		keys := 0
		o := outbox.New(outbox.Params{Store: s, Topic: fleet.TopicWork, MaxBytes: 100, NextKey: func() string {
			keys++
			return fmt.Sprint("key ", keys)
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Run(ctx) }()
		for i := range 10 {
			o.Add(outbox.PendingRecord{Record: fleet.Record{Value: fmt.Appendf(nil, "some text of a result %d", i)}})
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
		assert.Assert(t, end >= 10 && end <= 14, "%d records", end)
		assert.Equal(t, string(records[end-1].Value), "some text of a result 9")
		checkKeys(t, s)
	})
}

// TestStoredTellsWhere reports each record once, where the store has it for sure:
// not the copy whose answer was lost.
func TestStoredTellsWhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		s.SetFaults(fleetstore.Faults{LoseAnswers: 1})
		keys := 0
		o := outbox.New(outbox.Params{Store: s, Topic: fleet.TopicTexts, MaxBytes: 1000, NextKey: func() string {
			keys++
			return fmt.Sprint("key ", keys)
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Run(ctx) }()
		stored := make(chan fleet.Record, 10)
		for i := range 3 {
			o.Add(outbox.PendingRecord{
				Record: fleet.Record{Value: fmt.Appendf(nil, "text %d", i)}, KeyPrefix: "job/", OnStored: func(r fleet.Record) { stored <- r },
			})
		}
		time.Sleep(2 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, len(stored), 3)
		for i := range 3 {
			told := <-stored
			r, err := s.ReadOne(t.Context(), fleet.TopicTexts, told.Offset, 100)
			assert.NilError(t, err)
			assert.DeepEqual(t, r, told)
			assert.Equal(t, string(r.Value), fmt.Sprint("text ", i))
			assert.Assert(t, strings.HasPrefix(r.Key, "job/key "), r.Key)
		}
	})
}

// checkKeys checks that no copy of a record has the key of another: the store
// keeps the newest record of a key, and a process that reads only these would
// know the first copy at a later place.
func checkKeys(t *testing.T, s *fleetstore.Store) {
	t.Helper()
	page, err := s.Read(t.Context(), fleet.TopicWork, 0)
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, r := range page.Records {
		assert.Assert(t, !seen[r.Key], "key %q comes twice", r.Key)
		seen[r.Key] = true
	}
}
