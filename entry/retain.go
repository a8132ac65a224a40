package entry

import (
	"context"
	"math"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/retention"
	"github.com/sycamoretally/sycamoretally/platform"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// logGroup chooses the peers from which this entry reads a stream.
func (e *Entry) logGroup(stream string) *follow.Group {
	follows := func(platform.Instance) bool { return true }
	tails := follow.DefaultTailsPerDataCentre
	if stream == protocol.StreamWork {
		// Batch items are handed out only on what the log itself proves.
		tails = math.MaxInt
		follows = func(i platform.Instance) bool { return i.Role == platform.RoleEntry }
	}
	return &follow.Group{
		Self: e.settings.Process.Instance, DataCentre: e.settings.Process.DataCentre, Stream: stream,
		Instances: func() []platform.Instance { return e.members.Instances() }, Follows: follows, Call: e.peers.ReadLog, PerDataCentre: tails,
	}
}

// newKeepers returns a keeper for each stream.
func (e *Entry) newKeepers() map[string]*retention.Keeper {
	params := retention.Params{
		Retention: time.Duration(e.settings.Platform.LogRetention),
		Keep:      time.Duration(e.settings.Entry.KeepResults),
	}
	keepers := map[string]*retention.Keeper{
		protocol.StreamConfig: retention.NewKeeper(params, retention.Stream{
			Name: protocol.StreamConfig, Follower: e.conf.follower, Writer: e.conf.writer, Bodies: e.confMarks,
		}),
		protocol.StreamWork: retention.NewKeeper(params, retention.Stream{
			Name: protocol.StreamWork, Follower: e.work.follower, Writer: e.work.writer, Bodies: e.moved,
			Needed: e.neededBodies, Read: e.bodies.Record,
		}),
	}
	for _, k := range keepers {
		e.metrics.registry.MustRegister(k.Metrics()...)
	}
	return keepers
}

func (e *Entry) neededBodies() []protocol.Position {
	return append(e.requests.Needed(), e.jobs.Needed()...)
}

// The bounds of the time between two looks at what is due.
const (
	minRetainInterval = 100 * time.Millisecond
	maxRetainInterval = time.Minute
	// retainPart is the part of the retention after which to look again.
	retainPart = 64
)

// retainTimeout bounds what one look writes.
const retainTimeout = time.Minute

// retain writes snapshots and carries bodies over for the streams that this
// entry owns by rendezvous hashing.
func (e *Entry) retain(ctx context.Context, keepers map[string]*retention.Keeper) error {
	interval := time.Duration(e.settings.Platform.LogRetention) / retainPart
	ticker := time.NewTicker(min(max(interval, minRetainInterval), maxRetainInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for stream, k := range keepers {
			e.retainStream(ctx, stream, k)
		}
	}
}

func (e *Entry) retainStream(ctx context.Context, stream string, k *retention.Keeper) {
	follower := e.conf.follower
	if stream == protocol.StreamWork {
		follower = e.work.follower
	}
	if e.isLeaving() || follower.CheckAge(time.Duration(e.settings.Process.MaxAge)) != nil || !e.ownsKey("retention/"+stream) {
		return
	}
	stepCtx, cancel := context.WithTimeout(ctx, retainTimeout)
	defer cancel()
	if err := k.Step(stepCtx, time.Now()); err != nil && ctx.Err() == nil {
		klog.InfoS("retention step failed", "stream", stream, "error", err)
	}
}
