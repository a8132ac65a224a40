package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/processtest"
)

// BenchmarkIdleMemory reports the resident memory of an idle entry and sidecar.
func BenchmarkIdleMemory(b *testing.B) {
	site, err := processtest.Start(binary, b.TempDir(), defaultLayout())
	b.Cleanup(site.Close)
	assert.NilError(b, err)
	<-time.After(3 * time.Second)
	for b.Loop() {
		entry, err := site.Entries[0].ResidentBytes()
		assert.NilError(b, err)
		sidecar, err := site.Sidecars[0].ResidentBytes()
		assert.NilError(b, err)
		b.ReportMetric(float64(entry)/(1<<20), "entry-MiB")
		b.ReportMetric(float64(sidecar)/(1<<20), "sidecar-MiB")
	}
}
