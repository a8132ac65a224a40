package state

import (
	"flag"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// snapshotFold is a fold that is part of snapshots.
type snapshotFold interface {
	Apply(pos protocol.Position, rec *protocol.Record)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

func newFolds() []snapshotFold {
	config := NewConfigFold()
	return []snapshotFold{config, NewRequests(), NewJobs(), NewBodies(), NewQuarantine(), NewLoads(config)}
}

var recordKinds = map[string]func(t *rapid.T, pos protocol.Position) protocol.Record{
	"change": func(t *rapid.T, pos protocol.Position) protocol.Record {
		o := protocol.Object{Kind: protocol.KindDrain, Name: drawName(t), Drain: &protocol.Drain{}}
		o.Base = protocol.Position(rapid.Uint64Range(0, uint64(pos)).Draw(t, "base"))
		if rapid.Bool().Draw(t, "fresh") {
			o.Base = 0
		}
		return protocol.Record{Change: &protocol.Change{By: "op", Objects: []protocol.Object{o}}}
	},
	"accept": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Accept: &protocol.RequestAccept{Key: drawName(t), Entry: "e", Call: protocol.Call{Body: []byte(drawName(t))}}}
	},
	"start": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Start: &protocol.RequestStart{Key: drawName(t), Attempt: drawName(t), Holder: "h", Fingerprint: "f"}}
	},
	"void": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Void: &protocol.RequestVoid{Key: drawName(t), Attempt: drawName(t)}}
	},
	"release": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Release: &protocol.RequestRelease{Key: drawName(t), Attempt: drawName(t), Holder: "h"}}
	},
	"complete": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Complete: &protocol.RequestComplete{Key: drawName(t), Attempt: drawName(t), Fingerprint: "f", Result: drawResult(t)}}
	},
	"file": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{File: &protocol.FileChunk{File: drawName(t), Index: rapid.IntRange(0, 1).Draw(t, "chunk"), Chunks: 2, Items: make([]protocol.Item, 2)}}
	},
	"job": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Job: &protocol.JobAccept{Job: drawName(t), File: drawName(t), DueUnixMillis: 7}}
	},
	"items": func(t *rapid.T, _ protocol.Position) protocol.Record {
		item := protocol.ItemResult{Index: rapid.IntRange(0, 4).Draw(t, "index"), Result: drawResult(t)}
		return protocol.Record{Items: &protocol.ItemResults{Job: drawName(t), Items: []protocol.ItemResult{item}}}
	},
	"cancel": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Cancel: &protocol.JobCancel{Job: drawName(t)}}
	},
	"snapshot": func(_ *rapid.T, pos protocol.Position) protocol.Record {
		return protocol.Record{Snapshot: &protocol.SnapshotChunk{Next: pos.Offset(), Chunks: 1, UnixMillis: int64(pos.Offset())}}
	},
	"carry": func(t *rapid.T, pos protocol.Position) protocol.Record {
		original := protocol.PositionAt(rapid.Uint64Range(1, pos.Offset()).Draw(t, "original"), 0)
		return protocol.Record{Carry: &protocol.Carry{Original: original}}
	},
	"place": func(t *rapid.T, pos protocol.Position) protocol.Record {
		o := protocol.Object{Kind: protocol.KindPlacement, Name: drawName(t), Base: drawPosition(t, pos)}
		o.Placement = &protocol.Placement{Selector: protocol.Selector{"role": drawName(t)}, Model: "m", Version: drawName(t), MaxUnavailablePercent: 100}
		return protocol.Record{Change: &protocol.Change{By: "op", Objects: []protocol.Object{o}}}
	},
	"hello": func(t *rapid.T, _ protocol.Position) protocol.Record {
		hello := &protocol.TargetRegistration{Target: drawName(t), Holder: drawName(t), Instance: drawName(t)}
		hello.Labels = protocol.Labels{"role": drawName(t)}
		return protocol.Record{Hello: hello}
	},
	"claim": func(t *rapid.T, pos protocol.Position) protocol.Record {
		return protocol.Record{Claim: &protocol.LoadClaim{Target: drawName(t), Holder: drawName(t), Fence: drawPosition(t, pos)}}
	},
	"renew": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Renew: &protocol.LoadRenew{Target: drawName(t), Holder: drawName(t)}}
	},
	"load": func(t *rapid.T, pos protocol.Position) protocol.Record {
		return protocol.Record{Load: &protocol.LoadEnd{
			Target: drawName(t), Holder: drawName(t), Fence: drawPosition(t, pos), Loaded: rapid.Bool().Draw(t, "loaded"), Content: drawName(t), Boot: drawName(t),
		}}
	},
	"revoke": func(t *rapid.T, pos protocol.Position) protocol.Record {
		return protocol.Record{Revoke: &protocol.LoadRevoke{Target: drawName(t), Seen: drawPosition(t, pos), Gone: rapid.Bool().Draw(t, "gone")}}
	},
	"crash": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Crash: &protocol.TargetCrash{Target: "t", Fingerprints: []string{drawName(t)}, HoldMillis: 100}}
	},
	"trial": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{Trial: &protocol.SuspectTrial{Fingerprint: drawName(t), Attempt: drawName(t)}}
	},
	"trial end": func(t *rapid.T, _ protocol.Position) protocol.Record {
		return protocol.Record{TrialOf: &protocol.TrialEnd{Fingerprint: drawName(t), Attempt: drawName(t), Completed: rapid.Bool().Draw(t, "completed")}}
	},
	"elapsed": func(t *rapid.T, pos protocol.Position) protocol.Record {
		return protocol.Record{Elapsed: &protocol.Elapsed{Since: drawPosition(t, pos), Millis: 60}}
	},
	"forget": func(t *rapid.T, pos protocol.Position) protocol.Record {
		before := rapid.Uint64Range(1, pos.Offset()).Draw(t, "before")
		return protocol.Record{Forget: &protocol.Forget{Before: protocol.PositionAt(before, 0), Expired: before}}
	},
}

// drawPosition draws zero or one of the eight positions before pos.
func drawPosition(t *rapid.T, pos protocol.Position) protocol.Position {
	back := rapid.Uint64Range(0, min(pos.Offset(), 8)).Draw(t, "back")
	if back == 0 {
		return 0
	}
	return protocol.PositionAt(pos.Offset()-back, 0)
}

func drawName(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name") }

func drawResult(t *rapid.T) protocol.Result {
	return protocol.Result{Outcome: rapid.SampledFrom([]protocol.Outcome{protocol.OutcomeCompleted, protocol.OutcomeFailed}).Draw(t, "outcome")}
}

func drawRecords(t *rapid.T) []protocol.Record {
	kinds := slices.Sorted(maps.Keys(recordKinds))
	n := rapid.IntRange(0, 60).Draw(t, "records")
	records := make([]protocol.Record, n)
	for i := range records {
		kind := rapid.SampledFrom(kinds).Draw(t, "kind")
		records[i] = recordKinds[kind](t, protocol.PositionAt(uint64(i+1), 0))
		records[i].ID = fmt.Sprint("r", i)
		if i > 0 && rapid.IntRange(0, 9).Draw(t, "again") == 0 {
			records[i] = records[rapid.IntRange(0, i-1).Draw(t, "which")]
		}
	}
	return records
}

func applyAll(folds []snapshotFold, records []protocol.Record, from int) {
	forget := ForgetFold{Requests: folds[1].(*Requests), Jobs: folds[2].(*Jobs)}
	for i := from; i < len(records); i++ {
		forget.Apply(protocol.PositionAt(uint64(i+1), 0), &records[i])
		for _, f := range folds {
			f.Apply(protocol.PositionAt(uint64(i+1), 0), &records[i])
		}
	}
}

// sameState fails if the states of two folds differ; locks are ignored.
func sameState(a, b snapshotFold) error {
	var left, right any
	switch fold := a.(type) {
	case *ConfigFold:
		other := b.(*ConfigFold)
		left, right = fold.current.Load(), other.current.Load()
		if err := sameChangeResults(fold.changeResults, other.changeResults); err != nil {
			return err
		}
		if !reflect.DeepEqual(fold.versions.all, other.versions.all) {
			return protocol.ErrInternal.New("versions: got %+v, want %+v", fold.versions.all, other.versions.all)
		}
	case *Requests:
		left, right = fold.keys, b.(*Requests).keys
	case *Jobs:
		other := b.(*Jobs)
		left, right = []any{fold.files, fold.jobs, fold.Running()}, []any{other.files, other.jobs, other.Running()}
	case *Quarantine:
		other := b.(*Quarantine)
		left, right = quarantineState(fold), quarantineState(other)
	case *Loads:
		left, right = fold.targets, b.(*Loads).targets
	case *Bodies:
		other := b.(*Bodies)
		left, right = []any{fold.moved, fold.marks}, []any{other.moved, other.marks}
	}
	if !reflect.DeepEqual(left, right) {
		return protocol.ErrInternal.New("%T: got %+v\nwant %+v", a, left, right)
	}
	return nil
}

func quarantineState(q *Quarantine) any {
	order := append([]string{}, q.order...)
	return []any{q.now, q.timeAt, order, q.suspects}
}

func sameChangeResults(a, b *changeResults) error {
	if !reflect.DeepEqual(a.order, b.order) {
		return protocol.ErrInternal.New("records with results: got %v, want %v", a.order, b.order)
	}
	for _, id := range a.order {
		x, y := a.get(id), b.get(id)
		if x.At != y.At || !reflect.DeepEqual(protocol.ProblemOf(x.Err), protocol.ProblemOf(y.Err)) {
			return protocol.ErrInternal.New("result of %s: got %v, want %v", id, x, y)
		}
	}
	return nil
}

// TestSnapshotAndRest checks that a reader that restores a snapshot taken at any
// point and applies the remaining records has the state of one that applied every record.
func TestSnapshotAndRest(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", rapidSeed))
	t.Logf("seed %s", rapidSeed)
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		full, first, restored := newFolds(), newFolds(), newFolds()
		applyAll(full, records, 0)
		applyAll(first, records[:cut], 0)
		for i := range first {
			data, err := first[i].Snapshot()
			assert.NilError(t, err)
			assert.NilError(t, restored[i].Restore(data))
		}
		applyAll(restored, records, cut)
		for i := range full {
			assert.NilError(t, sameState(full[i], restored[i]))
		}
	})
}
