package sidecar

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// fakeLog is a log that accepts records unless it is down.
type fakeLog struct {
	mu      sync.Mutex
	down    bool
	records []protocol.Record
	// maxBytes is the size limit of an append, 0 if there is none.
	maxBytes int
}

func (l *fakeLog) append(_ context.Context, records []protocol.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return protocol.ErrLogUnavailable.New("outage")
	}
	size := 0
	for i := range records {
		size += resultBytes(&records[i])
	}
	if l.maxBytes > 0 && size > l.maxBytes {
		return protocol.ErrTooLarge.New("%d bytes", size)
	}
	l.records = append(l.records, records...)
	return nil
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func completion(n, size int) protocol.Record {
	return protocol.Record{ID: fmt.Sprint(n), Complete: &protocol.RequestComplete{Result: protocol.Result{Body: make([]byte, size)}}}
}

// TestOutboxSurvivesOutage checks that every record reaches the log in order after an
// outage of an hour, and that awaitEmpty waits for the last one.
func TestOutboxSurvivesOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{down: true}
		o := newOutbox(log.append)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.run(ctx) }()
		const count = 3 * maxAppendRecords
		for n := range count {
			o.add(completion(n, maxAppendBytes/10))
		}
		drainCtx, done := context.WithTimeout(ctx, time.Hour)
		defer done()
		o.awaitEmpty(drainCtx)
		assert.Equal(t, o.pending(), count)
		log.setDown(false)
		o.awaitEmpty(ctx)
		assert.Equal(t, o.pending(), 0)
		for n, rec := range log.records {
			assert.Equal(t, rec.ID, fmt.Sprint(n))
		}
		cancel()
		synctest.Wait()
	})
}

// TestOversizedResultHoldsUpNoOther guards against a result that the log never takes and that is
// tried for ever, with the results of all later calls behind it.
func TestOversizedResultHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{maxBytes: 1000}
		o := newOutbox(log.append)
		for n, size := range []int{400, 400, 400, 1001, 400, 2000, 1000} {
			o.add(completion(n, size))
		}
		go func() { _ = o.run(t.Context()) }()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		o.awaitEmpty(ctx)
		assert.Equal(t, o.pending(), 0)
		assert.Equal(t, o.refusals(), 2)
		var stored []string
		for _, rec := range log.records {
			stored = append(stored, rec.ID)
		}
		assert.DeepEqual(t, stored, []string{"0", "1", "2", "4", "6"})
	})
}

// TestOutboxIsBounded checks that reserve fails while the record of another call might
// not fit.
func TestOutboxIsBounded(t *testing.T) {
	o := newOutbox((&fakeLog{down: true}).append)
	for range maxOutboxRecords {
		assert.NilError(t, o.reserve())
	}
	assert.Assert(t, errorx.IsOfType(o.reserve(), protocol.ErrBusy))
	o.unreserve()
	assert.NilError(t, o.reserve())

	o = newOutbox((&fakeLog{down: true}).append)
	o.add(completion(0, maxOutboxBytes))
	assert.Equal(t, protocol.OutcomeOf(o.reserve()), protocol.OutcomeNotRun)
	o.removeFirst(1)
	assert.NilError(t, o.reserve())
}

// TestOutboxAddAfterRunEnded checks that a handler that outlives the sidecar can still add
// a record without blocking or panicking.
func TestOutboxAddAfterRunEnded(t *testing.T) {
	o := newOutbox((&fakeLog{}).append)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, o.run(ctx))
	o.add(completion(1, 0))
	assert.Equal(t, o.pending(), 1)
}
