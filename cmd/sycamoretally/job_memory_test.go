package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/settings"
)

// largeJobFile is a batch file of items with bodies of about 1 KiB.
func largeJobFile(b testing.TB, items int) []byte {
	const bodyBytes = 900
	var file bytes.Buffer
	for i := range items {
		line, err := json.Marshal(map[string]any{"custom_id": "item-" + strconv.Itoa(i), "body": map[string]any{
			"model": "drafting", "max_tokens": 1,
			"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("%d %s", i, strings.Repeat("x", bodyBytes))}},
		}})
		assert.NilError(b, err)
		file.Write(append(line, '\n'))
	}
	return file.Bytes()
}

// BenchmarkJobMemory reports the largest resident memory of an entry that takes
// a job, hands out all its items and reads all its results.
func BenchmarkJobMemory(b *testing.B) {
	for _, items := range []int{1_000, 10_000, 53_000} {
		b.Run(strconv.Itoa(items), func(b *testing.B) {
			for b.Loop() {
				measureJobMemory(b, items)
			}
		})
	}
}

func measureJobMemory(b *testing.B, items int) {
	const engines = 4
	site, err := processtest.Start(binary, b.TempDir(), processtest.Layout{
		Entries: 1, Engines: engines, Slots: 64,
		Engine: settings.StandInEngine{Width: 64, TokenTime: settings.Duration(time.Millisecond)},
	})
	b.Cleanup(site.Close)
	assert.NilError(b, err)
	c := client.New(site.Client)
	b.Cleanup(c.Close)
	script := demo.Script{Client: c, Out: io.Discard}
	assert.NilError(b, script.Prepare(b.Context()))
	file, err := c.Upload(b.Context(), largeJobFile(b, items))
	assert.NilError(b, err)
	uploaded, err := site.Entries[0].PeakBytes()
	assert.NilError(b, err)
	j, err := c.Submit(b.Context(), file, "1h", "")
	assert.NilError(b, err)
	begun := time.Now()
	for j.Status == "running" {
		<-time.After(100 * time.Millisecond)
		j, err = c.Job(b.Context(), j.ID)
		assert.NilError(b, err)
	}
	b.ReportMetric(float64(items)/time.Since(begun).Seconds(), "items/s")
	assert.NilError(b, c.Results(b.Context(), j.ID, io.Discard))
	peak, err := site.Entries[0].PeakBytes()
	assert.NilError(b, err)
	b.ReportMetric(float64(uploaded)/(1<<20), "upload-peak-MiB")
	b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
}
