package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	// reuseAfter is how long after the end of a worker its address may be used again.
	reuseAfter = 2 * time.Second
	// registerLag is the time from a worker's start until the store has its first entry.
	registerLag = 200 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which a silent worker's entry is removed.
	missedHeartbeats = 3
	// streamInterval is the time between two requests on the streaming route.
	streamInterval = 50 * time.Millisecond
	streamDeadline = 5 * time.Second
)

// stream is a request on the streaming route with its answer.
type stream struct {
	id     string
	status int
	pieces []string
	whole  bool
}

// sendStream sends a request on the streaming route of the service model.
func (s *site) sendStream(gateway int) *stream {
	out := &stream{id: newID()}
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	address := s.gateways[gateway%len(s.gateways)]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprint("http://", address, ":", frontPort, streamRoute, "2f"), bytes.NewReader([]byte("prompt")))
	if err != nil {
		return out
	}
	r.Host = siteHost
	r.Header.Set(headerID, out.id)
	r.Header.Set("X-Sycamoretally-Deadline-Ms", fmt.Sprint(streamDeadline.Milliseconds()))
	r.Header.Set("X-Sycamoretally-Model", "m")
	r.Header.Set(headerUsage, "340,30")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
	if err != nil {
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	out.whole = err == nil
	for line := range strings.Lines(string(body)) {
		if data, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			out.pieces = append(out.pieces, data)
		}
	}
	return out
}

// sendStreams sends a request each streamInterval until ctx ends, and returns them with their
// answers.
func (s *site) sendStreams(ctx context.Context) []*stream {
	var mu sync.Mutex
	var streams []*stream
	var group sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		group.Go(func() {
			out := s.sendStream(n)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, out)
		})
		time.Sleep(streamInterval)
	}
	group.Wait()
	for _, out := range streams {
		first := ""
		if len(out.pieces) > 0 {
			first = out.pieces[0]
		}
		s.record.write("stream %s: status %d, %d pieces, first %q, whole %v", out.id, out.status, len(out.pieces), first, out.whole)
	}
	return streams
}

// reuse lets a worker crash for good, and a worker of another service start at its address. The
// platform removes the entry of the first one after some missed heartbeats, registers the second
// one under its own service, and writes that service into the settings of the machine.
func (s *site) reuse(ctx context.Context, old *worker, machine string) (*worker, error) {
	old.crash()
	time.AfterFunc(missedHeartbeats*heartbeat, func() {
		_ = platformtest.RemoveTarget(ctx, s.store, old.id)
		s.record.write("the entry of worker %s is removed", old.id)
	})
	time.Sleep(reuseAfter + 200*time.Millisecond)
	host, _, _ := strings.Cut(old.address, ":")
	next, err := s.addWorker("i-02d9e6b4", other, host, cap(old.slots), old.eventTime)
	if err != nil {
		return nil, err
	}
	d := s.daemons[machine]
	d.node.Service = other
	if err := os.WriteFile(d.settings, []byte(d.node.Settings()), 0o600); err != nil {
		return nil, err
	}
	if err := d.process.Process.Signal(syscall.SIGHUP); err != nil {
		return nil, err
	}
	s.record.write("the settings of %s say service %s; SIGHUP", machine, other)
	time.AfterFunc(registerLag, func() {
		s.record.write("worker %s registers under service %s", next.id, other)
		s.register(ctx, next)
	})
	return next, nil
}

// addressReused lets the address of a worker be used again by a worker of another service.
func addressReused(rec *record, trouble bool) ([]string, error) {
	s, err := newSite(rec, 2, 7, 8, 10*time.Millisecond)
	defer s.close()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sending, stopSending := context.WithTimeout(ctx, 20*time.Second)
	defer stopSending()
	streams := make(chan []*stream, 1)
	go func() { streams <- s.sendStreams(sending) }()
	time.Sleep(3 * time.Second)
	var next *worker
	if trouble {
		if next, err = s.reuse(ctx, s.workers[0], "side-1"); err != nil {
			return nil, err
		}
	}
	var jobs []*job
	for range 6 {
		jobs = append(jobs, newJob(10))
	}
	if err := s.submitAll(jobs, 2*time.Second); err != nil {
		return nil, err
	}
	broken := checkForeign(<-streams)
	s.readAll(jobs, finishTime)
	broken = append(broken, check(jobs)...)
	if next == nil {
		return broken, nil
	}
	for id, path := range next.ran() {
		if !strings.HasPrefix(path, otherRoute) {
			broken = append(broken, fmt.Sprintf("ROUTE: a worker of service %s ran request %s at %s", other, id, path))
		}
	}
	return broken, nil
}

// checkForeign returns the streams in which a piece is not of the request's service.
func checkForeign(streams []*stream) (broken []string) {
	for _, out := range streams {
		for n, p := range out.pieces {
			if p != piece(model, out.id, n+1) {
				broken = append(broken, fmt.Sprintf("ROUTE: stream %s got piece %d %q", out.id, n+1, p))
				break
			}
		}
	}
	return broken
}
