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

// TestRecordsOutliveOutage adds records during an outage and then loses one answer:
// all records must be stored in order, each at most twice, and several in one append.
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

// TestOnStoredReportsConfirmedCopy loses the answer to one append: OnStored must be
// called once for each record, with the copy that the store has confirmed and not
// the one whose answer was lost.
func TestOnStoredReportsConfirmedCopy(t *testing.T) {
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
			confirmed := <-stored
			r, err := s.ReadOne(t.Context(), fleet.TopicTexts, confirmed.Offset, 100)
			assert.NilError(t, err)
			assert.DeepEqual(t, r, confirmed)
			assert.Equal(t, string(r.Value), fmt.Sprint("text ", i))
			assert.Assert(t, strings.HasPrefix(r.Key, "job/key "), r.Key)
		}
	})
}

// TestUnstorableRecordHoldsUpNoOther guards against records that wait for ever behind one that the
// store never takes (review/10). Everything else must be stored in order, also what is added
// later, and the refused record be reported once.
func TestUnstorableRecordHoldsUpNoOther(t *testing.T) {
	for name, unstorable := range map[string]fleet.Record{
		"a long key":   {Key: strings.Repeat("k", fleet.MaxKeyBytes+1), Value: []byte("x")},
		"a long value": {Value: make([]byte, fleetstore.MaxRecordBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fleetstore.New()
				keys := 0
				o := outbox.New(outbox.Params{Store: s, Topic: fleet.TopicWork, MaxBytes: 1 << 20, NextKey: func() string {
					keys++
					return fmt.Sprint("key ", keys)
				}})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = o.Run(ctx) }()
				refused := 0
				var want []string
				for i := range 9 {
					if i == 1 || i == 4 {
						o.Add(outbox.PendingRecord{Record: unstorable, OnRefused: func() { refused++ }})
						continue
					}
					want = append(want, fmt.Sprint("text ", i))
					o.Add(outbox.PendingRecord{Record: fleet.Record{Value: []byte(want[len(want)-1])}, OnRefused: func() { t.Error("a sound record was refused") }})
				}
				time.Sleep(10 * time.Second)
				assert.Equal(t, o.Len(), 0)
				o.Add(outbox.PendingRecord{Record: fleet.Record{Value: []byte("later")}})
				time.Sleep(time.Second)
				cancel()
				synctest.Wait()
				assert.Equal(t, refused, 2)
				assert.Equal(t, o.Refused(), 2)
				records, _, err := s.Newest(t.Context(), fleet.TopicWork)
				assert.NilError(t, err)
				var got []string
				for _, r := range records {
					got = append(got, string(r.Value))
				}
				assert.DeepEqual(t, got, append(want, "later"))
			})
		})
	}
}

// checkKeys checks that no two copies of a record share a key: the store keeps only
// the newest record of a key, so a process that reads only these would see the first
// copy at a later offset.
func checkKeys(t *testing.T, s *fleetstore.Store) {
	t.Helper()
	page, err := s.Read(t.Context(), fleet.TopicWork, 0)
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, r := range page.Records {
		assert.Assert(t, !seen[r.Key], "duplicate key %q", r.Key)
		seen[r.Key] = true
	}
}
