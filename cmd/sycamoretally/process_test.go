package main

import (
	"context"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/settings"
)

var binary string

func TestMain(m *testing.M) {
	os.Exit(processtest.Main(&binary, m.Run))
}

func startSite(t *testing.T, layout processtest.Layout) *processtest.Site {
	t.Helper()
	site, err := processtest.Start(binary, t.TempDir(), layout)
	t.Cleanup(func() {
		site.Close()
		if t.Failed() {
			logProcesses(t, site)
		}
	})
	assert.NilError(t, err)
	return site
}

func logProcesses(t *testing.T, site *processtest.Site) {
	for _, group := range [][]*processtest.Process{site.Entries, site.Sidecars} {
		for _, p := range group {
			t.Logf("%s:\n%s", p.Settings.Process.Instance, p.Log())
		}
	}
}

func defaultLayout() processtest.Layout {
	return processtest.Layout{
		Entries: 2, Engines: 3, Services: 1, Slots: 8,
		Log:    settings.StandInLog{AppendsPerSecond: 300},
		Engine: settings.StandInEngine{Width: 8, TokenTime: settings.Duration(5 * time.Millisecond), CacheTokens: 4096, RestartTime: settings.Duration(time.Second)},
	}
}

// TestDemoOverProcesses plays the demo against separate processes, and kills an
// entry and a sidecar while the job is in progress.
func TestDemoOverProcesses(t *testing.T) {
	site := startSite(t, defaultLayout())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
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

// testWriter writes to the test's log.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(data []byte) (int, error) {
	w.t.Logf("%s", data)
	return len(data), nil
}
