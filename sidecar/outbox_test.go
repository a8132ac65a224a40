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

// fakeLog takes records unless it is down.
type fakeLog struct {
	mu      sync.Mutex
	down    bool
	records []protocol.Record
}

func (l *fakeLog) append(_ context.Context, records []protocol.Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return protocol.ErrLogUnavailable.New("outage")
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

// TestOutboxSurvivesAnOutage checks that every record reaches the log, in order,
// after an outage of any length, and that drain waits for the last one.
func TestOutboxSurvivesAnOutage(t *testing.T) {
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

// TestOutboxIsBounded checks that no call starts whose record might not fit.
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

// TestOutboxTakesRecordsAfterTheEnd checks that a handler that outlives the
// sidecar does no harm.
func TestOutboxTakesRecordsAfterTheEnd(t *testing.T) {
	o := newOutbox((&fakeLog{}).append)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, o.run(ctx))
	o.add(completion(1, 0))
	assert.Equal(t, o.pending(), 1)
}
