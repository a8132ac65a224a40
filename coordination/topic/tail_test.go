package topic_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/topic"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// follower follows the work topic and remembers what it was told.
type follower struct {
	*topic.Follower
	mu       sync.Mutex
	keys     []string
	resets   int
	returned int
}

func follow(store fleet.Store) *follower {
	f := &follower{}
	f.Follower = topic.New(topic.Params{
		Store: store, Topic: fleet.TopicWork, Name: "work", Interval: 300 * time.Millisecond,
		Reset:       func(records []fleet.Record) { f.resets++; f.keys = nil; f.add(records) },
		Apply:       f.add,
		OnRecovered: func() { f.returned++ },
	})
	return f
}

func (f *follower) add(records []fleet.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		f.keys = append(f.keys, r.Key)
	}
}

func put(t *testing.T, s *fleetstore.Store, keys ...string) {
	t.Helper()
	for _, key := range keys {
		_, err := s.Append(t.Context(), fleet.TopicWork, fleet.AnyOffset, []fleet.Record{{Key: key, Value: []byte("v")}})
		assert.NilError(t, err)
	}
}

func TestFollowsEachRecordOnce(t *testing.T) {
	s := fleetstore.New()
	put(t, s, "a", "b", "a")
	f := follow(s)
	assert.NilError(t, f.CatchUp(t.Context()))
	put(t, s, "c")
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.DeepEqual(t, f.keys, []string{"b", "a", "c"})
	assert.Equal(t, f.Next(), int64(4))
}

// TestForgottenHistory begins again with the newest records.
func TestForgottenHistory(t *testing.T) {
	s := fleetstore.New()
	put(t, s, "a")
	f := follow(s)
	assert.NilError(t, f.CatchUp(t.Context()))
	put(t, s, "b", "a")
	s.Forget(fleet.TopicWork)
	put(t, s, "c")
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.Equal(t, f.resets, 2)
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.DeepEqual(t, f.keys, []string{"b", "a", "c"})
}

// TestStoreAway tells of the return once, before the first records, and never
// takes knowledge for newer than it is.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		f := follow(s)
		_, known := f.Age()
		assert.Assert(t, !known)
		assert.NilError(t, f.CatchUp(t.Context()))
		s.SetFaults(fleetstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		err := f.CatchUp(t.Context())
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrUnavailable))
		age, _ := f.Age()
		assert.Assert(t, age >= 2*time.Second, "%v", age)
		s.SetFaults(fleetstore.Faults{})
		assert.NilError(t, f.CatchUp(t.Context()))
		assert.NilError(t, f.CatchUp(t.Context()))
		assert.Equal(t, f.returned, 1)
		age, _ = f.Age()
		assert.Equal(t, age, time.Duration(0))
	})
}

// TestCatchUpIsShared lets many callers ask at once: one read that begins after
// the last of them serves them all.
func TestCatchUpIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		f := follow(s)
		assert.NilError(t, f.CatchUp(t.Context()))
		time.Sleep(time.Millisecond)
		s.SetFaults(fleetstore.Faults{Delay: 10 * time.Millisecond})
		before := s.Calls()
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() { assert.Check(t, f.CatchUp(t.Context())) })
		}
		group.Wait()
		assert.Assert(t, s.Calls()-before <= 2, "%d calls", s.Calls()-before)
	})
}

// TestLockedKeepsOthersOut checks that nothing is read between the catching up
// and the end of the function.
func TestLockedKeepsOthersOut(t *testing.T) {
	s := fleetstore.New()
	f := follow(s)
	put(t, s, "a")
	err := f.WhileCaughtUp(t.Context(), func() error {
		_, err := s.Append(t.Context(), fleet.TopicWork, f.Next(), []fleet.Record{{Key: "b", Value: []byte("v")}})
		return err
	})
	assert.NilError(t, err)
	assert.Equal(t, f.Next(), int64(1))
}

// TestSilentStoreIsNoticedSoon lets the store be silent, so that calls hang, and
// come back: the follower notices within a second, and still reads a store that
// takes long for each answer.
func TestSilentStoreIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		f := follow(s)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		s.SetFaults(fleetstore.Faults{Delay: time.Hour})
		time.Sleep(7 * time.Second)
		s.SetFaults(fleetstore.Faults{})
		time.Sleep(1200 * time.Millisecond)
		age, _ := f.Age()
		assert.Assert(t, age < 1200*time.Millisecond, "%v", age)
		s.SetFaults(fleetstore.Faults{Delay: 700 * time.Millisecond})
		time.Sleep(20 * time.Second)
		age, _ = f.Age()
		assert.Assert(t, age < 4*time.Second, "%v", age)
		cancel()
		synctest.Wait()
	})
}

// TestManyNewestRecords begins with records that take longer to read than a usual
// read may: they are read once, not again and again.
func TestManyNewestRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		put(t, s, "a", "b")
		f := follow(s)
		s.SetFaults(fleetstore.Faults{Delay: 1800 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.Equal(t, f.resets, 1)
		assert.DeepEqual(t, f.keys, []string{"a", "b"})
	})
}
