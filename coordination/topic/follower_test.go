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

// recorder follows the work topic and records the calls of its follower.
type recorder struct {
	*topic.Follower
	mu         sync.Mutex
	keys       []string
	resets     int
	recoveries int
}

func follow(store fleet.Store) *recorder {
	f := &recorder{}
	f.Follower = topic.New(topic.Params{
		Store: store, Topic: fleet.TopicWork, Name: "work", Interval: 300 * time.Millisecond,
		Reset:       func(records []fleet.Record) { f.resets++; f.keys = nil; f.add(records) },
		Apply:       f.add,
		OnRecovered: func() { f.recoveries++ },
	})
	return f
}

func (f *recorder) add(records []fleet.Record) {
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

// TestExpiredRecords checks that the follower starts again with the newest records if
// the store no longer has the next ones.
func TestExpiredRecords(t *testing.T) {
	s := fleetstore.New()
	put(t, s, "a")
	f := follow(s)
	assert.NilError(t, f.CatchUp(t.Context()))
	put(t, s, "b", "a")
	s.Compact(fleet.TopicWork)
	put(t, s, "c")
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.Equal(t, f.resets, 2)
	assert.NilError(t, f.CatchUp(t.Context()))
	assert.DeepEqual(t, f.keys, []string{"b", "a", "c"})
}

// TestStoreOutage checks that the recovery after an outage is notified once, and that
// the state never counts as newer than it is.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		f := follow(s)
		_, known := f.Age()
		assert.Assert(t, !known)
		assert.NilError(t, f.CatchUp(t.Context()))
		s.SetFaults(fleetstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		err := f.CatchUp(t.Context())
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrStoreUnavailable))
		age, _ := f.Age()
		assert.Assert(t, age >= 2*time.Second, "%v", age)
		s.SetFaults(fleetstore.Faults{})
		assert.NilError(t, f.CatchUp(t.Context()))
		assert.NilError(t, f.CatchUp(t.Context()))
		assert.Equal(t, f.recoveries, 1)
		age, _ = f.Age()
		assert.Equal(t, age, time.Duration(0))
	})
}

// TestCatchUpIsShared lets many callers catch up concurrently: a read that starts
// after the last call serves all of them.
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

// TestRecentReadIsNotWaitedFor asks for a state of a certain age while a slow read is under way.
// A state that is recent enough must do, or callers are refused while the store is slow.
func TestRecentReadIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fleetstore.New()
		f := follow(s)
		assert.NilError(t, f.CatchUp(t.Context()))
		s.SetFaults(fleetstore.Faults{Delay: 600 * time.Millisecond})
		go func() { _ = f.CatchUp(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		calls, begun := s.Calls(), time.Now()
		assert.NilError(t, f.CatchUpWithin(t.Context(), time.Second))
		assert.Equal(t, time.Since(begun), time.Duration(0))
		assert.NilError(t, f.CatchUpWithin(t.Context(), 50*time.Millisecond))
		assert.Equal(t, time.Since(begun), 1100*time.Millisecond, "the read under way, which began too early, and one more")
		assert.Equal(t, s.Calls(), calls+1)
	})
}

// TestNoReadWhileCaughtUp checks that no record is read between catching up and the
// end of the function.
func TestNoReadWhileCaughtUp(t *testing.T) {
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

// TestRecoveryOfUnresponsiveStoreIsDetectedSoon lets the calls of an unresponsive store
// hang until it recovers: the follower must be up to date within 1.2 s, and must
// still be able to read a store that takes 0.7 s for each answer.
func TestRecoveryOfUnresponsiveStoreIsDetectedSoon(t *testing.T) {
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

// TestManyNewestRecords starts with newest records that take longer to read than
// readTimeout: they must be read once, without a timeout and retries.
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

// TestAgeCountsSuspensions suspends the instance between two reads: the follower's clock goes
// on while no time passes for the process. What was read must be as old as it is, or a key
// that was removed meanwhile would still be served.
func TestAgeCountsSuspensions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		created, suspended := time.Now(), time.Duration(0)
		add := func([]fleet.Record) {}
		f := topic.New(topic.Params{
			Store: fleetstore.New(), Topic: fleet.TopicConfiguration, Name: "configuration", Reset: add, Apply: add,
			Now: func() time.Duration { return time.Since(created) + suspended },
		})
		_, known := f.Age()
		assert.Assert(t, !known)
		assert.NilError(t, f.CatchUp(t.Context()))
		time.Sleep(time.Second)
		before, _ := f.Age()
		suspended = time.Minute
		after, _ := f.Age()
		assert.Equal(t, after-before, time.Minute)
		assert.NilError(t, f.CatchUpWithin(t.Context(), time.Second))
		renewed, _ := f.Age()
		assert.Assert(t, renewed < time.Second, "%v", renewed)
	})
}
