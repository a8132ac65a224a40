package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/transport"
)

func startBench(b *testing.B, layout Layout) (*Site, *Script) {
	b.Helper()
	site, err := Start(layout)
	b.Cleanup(site.Close)
	assert.NilError(b, err)
	c := client.New(site.Client)
	b.Cleanup(c.Close)
	s := &Script{Client: c, Out: io.Discard}
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	assert.NilError(b, s.Prepare(ctx))
	return site, s
}

func reportPercentiles(b *testing.B, h *hdrhistogram.Histogram, name string) {
	b.ReportMetric(float64(h.ValueAtPercentile(50))/1000, name+"-p50-ms")
	b.ReportMetric(float64(h.ValueAtPercentile(99))/1000, name+"-p99-ms")
}

// BenchmarkAddedLatency compares one-token answers through entry and sidecar
// with the same request sent to an engine directly, by turns.
func BenchmarkAddedLatency(b *testing.B) {
	layout := DefaultLayout()
	layout.Engine = engine.Params{Width: 8, CacheTokens: 4096}
	_, s := startBench(b, layout)
	direct := httptest.NewServer(engine.New(layout.Engine).Handler())
	defer direct.Close()
	request := chat("How long does a connection take?", true)
	request.MaxTokens = 1
	body, err := json.Marshal(request)
	assert.NilError(b, err)
	through, straight := hdrhistogram.New(1, 1e7, 3), hdrhistogram.New(1, 1e7, 3)
	first := hdrhistogram.New(1, 1e7, 3)
	for b.Loop() {
		begun := time.Now()
		var firstToken time.Duration
		_, err := s.Client.Chat(b.Context(), request, client.CallOptions{}, func(string) { firstToken = time.Since(begun) })
		assert.NilError(b, err)
		_ = through.RecordValue(time.Since(begun).Microseconds())
		_ = first.RecordValue(firstToken.Microseconds())
		begun = time.Now()
		resp, err := http.Post(direct.URL+"/v1/chat/completions", "application/json", bytes.NewReader(body))
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = straight.RecordValue(time.Since(begun).Microseconds())
	}
	reportPercentiles(b, straight, "direct")
	reportPercentiles(b, first, "first-token")
	reportPercentiles(b, through, "whole")
}

// BenchmarkBatchItems runs whole jobs and reports items a second, beside the
// rate that the engines allow and the rate that they reach when asked directly.
func BenchmarkBatchItems(b *testing.B) {
	for _, items := range []int{1_000, 5_000} {
		b.Run(strconv.Itoa(items), func(b *testing.B) { benchmarkJobs(b, items) })
	}
}

func benchmarkJobs(b *testing.B, items int) {
	const tokens = 8
	layout := DefaultLayout()
	_, s := startBench(b, layout)
	begun := time.Now()
	jobs := 0
	for b.Loop() {
		jobs++
		j, err := s.submit(b.Context(), jobFile(protocol.NewID(), items, tokens))
		assert.NilError(b, err)
		_, err = s.awaitJob(b.Context(), j.ID)
		assert.NilError(b, err)
	}
	rate := float64(jobs*items) / time.Since(begun).Seconds()
	possible := float64(layout.Engines*layout.Slots) / (tokens * layout.Engine.TokenTime.Seconds())
	b.ReportMetric(rate, "items/s")
	b.ReportMetric(rate/possible, "of-capacity")
	b.ReportMetric(rate/directRate(b, layout, tokens), "of-direct")
}

// directRate runs items on engines of the layout without entries or sidecars,
// as many at the same time as there are slots, and returns items a second.
func directRate(b *testing.B, layout Layout, tokens int) float64 {
	const perSlot = 40
	var group sync.WaitGroup
	begun := time.Now()
	for range layout.Engines {
		server := httptest.NewServer(engine.New(layout.Engine).Handler())
		defer server.Close()
		client := backend.NewEngine(server.URL, 0)
		for slot := range layout.Slots {
			group.Go(func() { generateRepeatedly(b, client, fmt.Sprintf("slot %d", slot), tokens, perSlot) })
		}
	}
	group.Wait()
	return float64(layout.Engines*layout.Slots*perSlot) / time.Since(begun).Seconds()
}

func generateRepeatedly(b *testing.B, e *backend.Engine, prompt string, tokens, n int) {
	request := chat(prompt, true)
	request.MaxTokens = tokens
	body, err := json.Marshal(request)
	assert.Check(b, err)
	for range n {
		g := backend.Generation{ID: protocol.NewID(), Body: body}
		assert.Check(b, e.Generate(b.Context(), g, func(string) error { return nil }))
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkIdlePull measures the bytes of one wait for items that finds none. A
// sidecar without batch work makes one such call to each entry in 30 s.
func BenchmarkIdlePull(b *testing.B) {
	site, _ := startBench(b, DefaultLayout())
	var bytes atomic.Int64
	peers := transport.NewPeers(PeerSecret)
	defer peers.Close()
	peers.UseDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &countingConn{conn, &bytes}, err
	})
	entries, err := site.List.Instances(b.Context())
	assert.NilError(b, err)
	entry := entries[slices.IndexFunc(entries, func(i backend.Instance) bool { return i.Role == backend.RoleEntry })]
	args := &protocol.PullArgs{
		Instance: "sidecar-a", Target: "target-a", WaitMillis: 1,
		Labels: protocol.Labels{"role": "drafting", "unit": "a", "zone": "north", "model": "large"},
	}
	pull := func() {
		var reply protocol.PullReply
		assert.NilError(b, peers.Call(b.Context(), entry.Peer, protocol.MethodPull, args, &reply))
	}
	pull()
	bytes.Store(0)
	calls := 0
	for b.Loop() {
		pull()
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), "bytes/call")
}
