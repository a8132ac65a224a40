package main

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestDemoWithManyEntries plays the demo with so many entries that each watches
// a subset of the targets, hands its records to a gatherer and serves the waits
// of some targets only, and kills an entry and a sidecar while the job is in
// progress.
func TestDemoWithManyEntries(t *testing.T) {
	layout := defaultLayout()
	layout.Entries, layout.Engines, layout.Services = 10, 16, 2
	site := startSite(t, layout)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	c := client.New(site.Client)
	defer c.Close()
	var killed atomic.Bool
	script := demo.Script{Client: c, BookingRuns: site.BookingRuns, Out: testWriter{t}, InjectFault: func() {
		assert.NilError(t, site.Entries[0].Kill())
		assert.NilError(t, site.Sidecars[1].Kill())
		killed.Store(true)
	}}
	assert.NilError(t, script.Run(ctx))
	assert.Assert(t, killed.Load())
}

// TestOneTargetManyOwners submits jobs that many entries own, together and one
// after another. Their one target waits at four entries only, and must hear of
// the jobs of the others before its waits end.
func TestOneTargetManyOwners(t *testing.T) {
	const together, limit = 10, 20 * time.Second
	layout := defaultLayout()
	layout.Entries, layout.Engines, layout.Services = 12, 1, 0
	site := startSite(t, layout)
	c := client.New(site.Client)
	defer c.Close()
	script := demo.Script{Client: c, Out: testWriter{t}}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	assert.NilError(t, script.Prepare(ctx))
	for range 3 {
		var group sync.WaitGroup
		for range together {
			group.Go(func() { runSmallJob(t, c, limit) })
		}
		group.Wait()
	}
}

// runSmallJob submits a job and waits for its end.
func runSmallJob(t *testing.T, c *client.Client, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	file, err := c.Upload(ctx, largeJobFile(t, 4))
	assert.Check(t, err == nil, "%v", err)
	j, err := c.Submit(ctx, file, "1h", protocol.NewID())
	for err == nil && j.Status == "running" {
		<-time.After(50 * time.Millisecond)
		j, err = c.Job(ctx, j.ID)
	}
	assert.Check(t, err == nil && j.Status == "completed", "job %s is %q: %v", j.ID, j.Status, err)
}
