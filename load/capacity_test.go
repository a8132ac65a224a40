package load

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// foldAll encodes records in entries of 64 and folds them as a follower does. It
// reports bytes of live memory and nanoseconds for each record, decoding included.
func foldAll(b *testing.B, count int, folds []fold, record func(i int) protocol.Record) {
	const each = 64
	var spent time.Duration
	encoded, before := 0, liveHeap()
	for at := 0; at < count; at += each {
		var group []protocol.Record
		for i := at; i < min(at+each, count); i++ {
			group = append(group, record(i))
		}
		data, err := protocol.EncodeBatch(group)
		assert.NilError(b, err)
		encoded += len(data)
		begun := time.Now()
		decoded, err := protocol.DecodeBatch(data)
		assert.NilError(b, err)
		for i := range decoded {
			for _, f := range folds {
				f.Apply(protocol.PositionAt(uint64(1+at/each), i), &decoded[i])
			}
		}
		spent += time.Since(begun)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(liveHeap()-before)/float64(count), "B-live/record")
	runtime.KeepAlive(folds)
	b.ReportMetric(float64(encoded)/float64(count), "B-log/record")
	b.ReportMetric(float64(spent.Nanoseconds())/float64(count), "ns-fold/record")
}

type fold = interface {
	Apply(protocol.Position, *protocol.Record)
}

// BenchmarkFoldRequests folds completions of requests with answers of 2 KB.
func BenchmarkFoldRequests(b *testing.B) {
	for _, count := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprintf("requests=%d", count), func(b *testing.B) {
			requests, body := state.NewRequests(), make([]byte, 2048)
			foldAll(b, count, []fold{requests, state.NewBodies()}, func(i int) protocol.Record {
				return protocol.Record{ID: protocol.NewID(), Complete: &protocol.RequestComplete{
					Key: fmt.Sprintf("workspace-%05d/%s", i%47000, protocol.NewID()), Attempt: protocol.NewID(), Fingerprint: protocol.NewID(),
					Result: protocol.Result{Outcome: protocol.OutcomeCompleted, Status: 200, ContentType: "application/json", Body: body},
				}}
			})
			assert.Equal(b, requests.Len(), count)
		})
	}
}

// BenchmarkFoldJobs folds jobs with a file of 1,000 items in ten chunks each, and
// the results of all items in records of 64.
func BenchmarkFoldJobs(b *testing.B) {
	const chunks, items, perResult = 10, 1000, 64
	results := (items + perResult - 1) / perResult
	perJob := chunks + 1 + results
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("jobs=%d", count), func(b *testing.B) {
			jobs := state.NewJobs()
			foldAll(b, count*perJob, []fold{jobs, state.NewBodies()}, func(i int) protocol.Record {
				return jobRecord(i/perJob, i%perJob, chunks, items, perResult)
			})
			assert.Equal(b, len(jobs.Running()), 0)
		})
	}
}

func jobRecord(job, place, chunks, items, perResult int) protocol.Record {
	file, name := fmt.Sprintf("file-%d", job), fmt.Sprintf("job-%d", job)
	id := protocol.NewID()
	switch {
	case place < chunks:
		chunk := protocol.FileChunk{File: file, Workspace: "w", Service: "s", Index: place, Chunks: chunks}
		for i := range items / chunks {
			chunk.Items = append(chunk.Items, protocol.Item{CustomID: fmt.Sprint(place, i), Body: make([]byte, 512)})
		}
		return protocol.Record{ID: id, File: &chunk}
	case place == chunks:
		return protocol.Record{ID: id, Job: &protocol.JobAccept{Job: name, Workspace: "w", Service: "s", File: file}}
	}
	done := protocol.ItemResults{Job: name}
	first := (place - chunks - 1) * perResult
	for i := first; i < min(first+perResult, items); i++ {
		done.Items = append(done.Items, protocol.ItemResult{Index: i, CustomID: fmt.Sprint(i), Result: protocol.Result{
			Outcome: protocol.OutcomeCompleted, Status: 200, ContentType: "text/plain", Body: make([]byte, 512),
		}})
	}
	return protocol.Record{ID: id, Items: &done}
}

// BenchmarkFoldConfig folds one change after another into a configuration of
// count quotas, and measures a change at that size.
func BenchmarkFoldConfig(b *testing.B) {
	for _, count := range []int{1000, 10_000, 47_000} {
		b.Run(fmt.Sprintf("objects=%d", count), func(b *testing.B) {
			config := state.NewConfigFold()
			before, at := liveHeap(), uint64(1)
			for i := 0; i < count; i += 500 {
				var change protocol.Change
				for k := i; k < min(i+500, count); k++ {
					change.Objects = append(change.Objects, quota(k, 0))
				}
				config.Apply(protocol.PositionAt(at, 0), &protocol.Record{ID: protocol.NewID(), Change: &change})
				at++
			}
			const changes = 20
			assert.Equal(b, len(config.Current().Objects()), count)
			begun := time.Now()
			for k := range changes {
				have, _ := config.Current().Lookup(protocol.KindQuota, quota(k, 0).Name)
				one := protocol.Change{Objects: []protocol.Object{quota(k, have.Version)}}
				config.Apply(protocol.PositionAt(at, 0), &protocol.Record{ID: protocol.NewID(), Change: &one})
				at++
			}
			spent := time.Since(begun)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(spent.Microseconds())/1000/changes, "ms/change")
			b.ReportMetric(float64(liveHeap()-before)/float64(count), "B-live/object")
			runtime.KeepAlive(config)
		})
	}
}

func quota(k int, base protocol.Position) protocol.Object {
	return protocol.Object{Kind: protocol.KindQuota, Name: fmt.Sprintf("workspace-%05d", k), Base: base, Quota: &protocol.Quota{BatchShare: 1}}
}
