package demo

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/logservice"
	"github.com/sycamoretally/sycamoretally/state"
)

// BenchmarkColdStart measures how a process starts from a snapshot of so many
// requests with results and the entries after it.
func BenchmarkColdStart(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("records=", n), func(b *testing.B) {
			log := logservice.New(logservice.Params{})
			writer := state.NewRequests()
			for i := range n {
				writer.Apply(protocol.PositionAt(1, 0), &protocol.Record{Complete: &protocol.RequestComplete{
					Key: fmt.Sprintf("workspace/key-%08d", i), Attempt: "a", Fingerprint: protocol.Fingerprint([]byte{byte(i)}),
					Result: protocol.Result{Outcome: protocol.OutcomeCompleted},
				}})
			}
			took := writeSnapshot(b, log, writer)
			for b.Loop() {
				measureColdStart(b, log, n)
			}
			b.ReportMetric(took.Seconds(), "write-s")
		})
	}
}

const benchStream = "bench"

// writeSnapshot appends a snapshot and returns the time that encoding took.
func writeSnapshot(b *testing.B, log *logservice.Service, fold *state.Requests) time.Duration {
	f := follow.New(follow.Params{Stream: benchStream, Source: log}, fold)
	appendOne(b, log, protocol.Record{ID: "first", Cancel: &protocol.JobCancel{}})
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	if err := f.WaitFor(ctx, 1); err != nil {
		b.Fatal(err)
	}
	begun := time.Now()
	records, err := f.SnapshotRecords(begun, 1<<20)
	took := time.Since(begun)
	if err != nil {
		b.Fatal(err)
	}
	for _, rec := range records {
		appendOne(b, log, rec)
	}
	cancel()
	<-done
	return took
}

func appendOne(b *testing.B, log *logservice.Service, rec protocol.Record) {
	data, err := protocol.EncodeBatch([]protocol.Record{rec})
	if err != nil {
		b.Fatal(err)
	}
	if _, err := log.Append(b.Context(), benchStream, data); err != nil {
		b.Fatal(err)
	}
}

func measureColdStart(b *testing.B, log *logservice.Service, want int) {
	fold := state.NewRequests()
	f := follow.New(follow.Params{Stream: benchStream, Source: log}, fold)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	page, err := log.Read(ctx, benchStream, 0, 1, 0)
	if err == nil {
		err = f.WaitFor(ctx, page.Next-1)
	}
	cancel()
	<-done
	if err != nil || fold.Len() != want {
		b.Fatalf("%d requests: %v", fold.Len(), err)
	}
	b.ReportMetric(float64(f.BytesRead()), "read-bytes")
}

// BenchmarkInForce measures the time from "accepted" until a change is in force
// in 2 entries and 8 sidecars, and counts the appends of an idle site.
func BenchmarkInForce(b *testing.B) {
	layout := DefaultLayout()
	layout.Engines, layout.Services = 7, 1
	for name, cut := range map[string]bool{"all paths open": false, "one sidecar silent": true} {
		b.Run(name, func(b *testing.B) {
			site, err := Start(layout)
			b.Cleanup(site.Close)
			if err != nil {
				b.Fatal(err)
			}
			c := client.New(site.Client)
			defer c.Close()
			<-time.After(3 * time.Second)
			before, _ := site.Log.Appends()
			<-time.After(5 * time.Second)
			after, _ := site.Log.Appends()
			if cut {
				site.Paths["sidecar-a"].Set(logservice.PathUnresponsive)
			}
			measureInForce(b, site, c)
			b.ReportMetric(float64(after-before)/5, "idle-appends/s")
		})
	}
}

func measureInForce(b *testing.B, site *Site, c *client.Client) {
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var base protocol.Position
	for b.Loop() {
		o := protocol.Object{Kind: protocol.KindLabel, Name: "x", Base: base, Label: &protocol.Label{Set: protocol.Labels{"a": "b"}}}
		answer, err := c.Apply(b.Context(), "bench", []protocol.Object{o})
		if err != nil {
			b.Fatal(err)
		}
		base = answer.Version
		begun := time.Now()
		awaitVersion(site, base)
		_ = times.RecordValue(max(1, time.Since(begun).Microseconds()))
	}
	reportPercentiles(b, times, "in-force")
}

func awaitVersion(site *Site, version protocol.Position) {
	for {
		reached := true
		for _, sc := range site.Sidecars {
			reached = reached && sc.Config().At >= version
		}
		for _, en := range site.Entries {
			reached = reached && en.Config().At >= version
		}
		if reached {
			return
		}
		<-time.After(100 * time.Microsecond)
	}
}
