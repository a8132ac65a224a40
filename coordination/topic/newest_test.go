package topic_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// pagedStore returns the pages in turn as the newest records. A nil page is a failed read.
type pagedStore struct {
	fleet.Store
	pages  []*fleet.NewestPage
	afters []string
	// delay is the time that each page takes.
	delay time.Duration
	// firstDelay is the time that the first page takes, if it is not delay.
	firstDelay time.Duration
}

// NewestAfter implements fleet.Store.
func (s *pagedStore) NewestAfter(_ context.Context, _ fleet.Topic, after string) (fleet.NewestPage, error) {
	time.Sleep(max(s.delay, s.firstDelay))
	s.firstDelay = 0
	s.afters = append(s.afters, after)
	page := s.pages[0]
	s.pages = s.pages[1:]
	if page == nil {
		return fleet.NewestPage{}, fleet.ErrStoreUnavailable.New("overloaded")
	}
	return *page, nil
}

// TestNewestPages reads two pages while the store rejects a read between them and a key is
// written. The read must go on after the first page, or a topic of many pages is never
// read while the store is overloaded. The record that was written lies past the first
// page's end and is left to the reads that follow, so that it is not applied twice.
func TestNewestPages(t *testing.T) {
	inner := fleetstore.New()
	put(t, inner, "0", "1", "b", "3", "c", "5", "6", "7", "8", "a", "10", "d")
	s := &pagedStore{Store: inner, pages: []*fleet.NewestPage{
		{Records: []fleet.Record{{Key: "a", Offset: 9}, {Key: "b", Offset: 2}}, More: true, End: 10},
		nil,
		{Records: []fleet.Record{{Key: "c", Offset: 4}, {Key: "d", Offset: 11}}, End: 12},
	}}
	f := follow(s)
	assert.Assert(t, f.CatchUp(t.Context()) != nil)
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.DeepEqual(t, s.afters, []string{"", "b", "b"})
	assert.DeepEqual(t, f.keys, []string{"b", "c", "a", "10", "d"})
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.DeepEqual(t, f.keys, []string{"b", "c", "a", "10", "d"})
}

// TestResumedReadHidesNothingWrittenMeanwhile lets the read of the newest records fail after
// its first page and go on 10 s later, after a key was written. Who catches up then must know
// that key, though the end of the topic that the first page told does not include it.
func TestResumedReadHidesNothingWrittenMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := fleetstore.New()
		put(t, inner, "a", "b")
		s := &pagedStore{Store: inner, pages: []*fleet.NewestPage{
			{Records: []fleet.Record{{Key: "a", Offset: 0}}, More: true, End: 2},
			nil,
			{Records: []fleet.Record{{Key: "b", Offset: 1}}, End: 3},
		}}
		f := follow(s)
		assert.Assert(t, f.CatchUp(t.Context()) != nil)
		put(t, inner, "c")
		time.Sleep(10 * time.Second)
		assert.NilError(t, f.CatchUp(t.Context()))
		assert.DeepEqual(t, f.keys, []string{"a", "b", "c"})
	})
}

// TestPausesAreBounded reads many pages on an instance on which each takes long. The pauses
// that leave the store's bandwidth to others must not add up without a bound, or a slow
// instance knows its jobs only long after the others.
func TestPausesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pagedStore{Store: fleetstore.New(), delay: 200 * time.Millisecond}
		for i := range 20 {
			s.pages = append(s.pages, &fleet.NewestPage{Records: []fleet.Record{{Key: string(rune('a' + i)), Offset: int64(i)}}, More: i < 19, End: 20})
		}
		begun := time.Now()
		err := follow(s).CatchUp(t.Context())
		assert.NilError(t, err)
		took := time.Since(begun)
		assert.Assert(t, took > 20*s.delay+time.Second && took < 20*s.delay+5*time.Second, "%v", took)
	})
}

// TestLargeFirstPageDelaysTheRestBriefly reads a log whose first page holds nearly all of its
// bytes, while many processes do the same. The others follow within milliseconds: a pause that
// is measured by the first one keeps gateways from answering calls about jobs for seconds.
func TestLargeFirstPageDelaysTheRestBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pagedStore{Store: fleetstore.New(), delay: 10 * time.Millisecond, firstDelay: 600 * time.Millisecond}
		for i := range 5 {
			s.pages = append(s.pages, &fleet.NewestPage{Records: []fleet.Record{{Key: string(rune('a' + i)), Offset: int64(i)}}, More: i < 4, End: 5})
		}
		begun := time.Now()
		assert.NilError(t, follow(s).CatchUp(t.Context()))
		assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
	})
}

// TestRunAfter checks that a topic that others must precede is read after them.
func TestRunAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := fleetstore.New()
		put(t, s, "a")
		first, second := follow(s), follow(s)
		go func() { _ = second.RunAfter(ctx, first.Follower) }()
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, second.resets, 0)
		assert.NilError(t, first.CatchUp(ctx))
		time.Sleep(100 * time.Millisecond)
		cancel()
		synctest.Wait()
		assert.Assert(t, slices.Equal(second.keys, []string{"a"}))
	})
}
