package entry

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/commit"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/retention"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// workTailsPerDataCentre is the number of entries in one data centre that read the work
// stream from the log itself. The others read from them.
const workTailsPerDataCentre = 4

// logFanout chooses the peers from which this entry reads a stream.
func (e *Entry) logFanout(stream string) *follow.Fanout {
	follows := func(backend.Instance) bool { return true }
	tails := follow.DefaultTailsPerDataCentre
	if stream == protocol.StreamWork {
		tails = workTailsPerDataCentre
		follows = func(i backend.Instance) bool { return i.Role == backend.RoleEntry }
	}
	return &follow.Fanout{
		Self: e.settings.Process.Instance, DataCentre: e.settings.Process.DataCentre, Stream: stream,
		Instances: func() []backend.Instance { return e.members.Instances() }, Follows: follows, Call: e.peers.ReadLog, TailsPerDataCentre: tails,
	}
}

// gatherers chooses the entries that append for this one.
func (e *Entry) gatherers(stream string) *commit.Gatherers {
	return &commit.Gatherers{
		Self: e.settings.Process.Instance, DataCentre: e.settings.Process.DataCentre, Stream: stream,
		Entries: func() []backend.Instance { return e.members.Entries() },
		Call: func(ctx context.Context, addr string, args protocol.GatherArgs) (protocol.GatherReply, error) {
			var reply protocol.GatherReply
			err := e.peers.Call(ctx, addr, protocol.MethodGather, &args, &reply)
			return reply, err
		},
	}
}

// newMaintainers returns a keeper for each stream.
func (e *Entry) newMaintainers() map[string]*retention.Maintainer {
	params := retention.Params{
		Retention:   time.Duration(e.settings.Platform.LogRetention),
		KeepResults: time.Duration(e.settings.Entry.KeepResults),
	}
	keepers := map[string]*retention.Maintainer{
		protocol.StreamConfig: retention.NewMaintainer(params, retention.Stream{
			Name: protocol.StreamConfig, Follower: e.configStream.follower, Writer: e.configStream.writer, Bodies: e.configMarks,
		}),
		protocol.StreamWork: retention.NewMaintainer(params, retention.Stream{
			Name: protocol.StreamWork, Follower: e.workStream.follower, Writer: e.workStream.writer, Bodies: e.movedBodies,
			NeededBodies: e.neededBodies, ReadRecord: e.bodies.Record,
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
	// retainDivisor is the part of the retention after which to look again.
	retainDivisor = 64
)

// retainTimeout bounds what one look writes.
const retainTimeout = time.Minute

// runRetention writes snapshots and carries bodies over for the streams that this
// entry owns by rendezvous hashing.
func (e *Entry) runRetention(ctx context.Context, keepers map[string]*retention.Maintainer) error {
	interval := time.Duration(e.settings.Platform.LogRetention) / retainDivisor
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

func (e *Entry) retainStream(ctx context.Context, stream string, k *retention.Maintainer) {
	follower := e.configStream.follower
	if stream == protocol.StreamWork {
		follower = e.workStream.follower
	}
	if e.isLeaving() || follower.CheckAge(time.Duration(e.settings.Process.MaxAge)) != nil || !e.ownsKey("retention/"+stream) {
		return
	}
	stepCtx, cancel := context.WithTimeout(ctx, retainTimeout)
	defer cancel()
	if err := k.Step(stepCtx, time.Now()); err != nil && ctx.Err() == nil {
		klog.InfoS("retention step failed", "stream", stream, "error", protocol.CauseOf(err))
	}
}
