package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// startRole starts a role of the platform with the settings at path.
func startRole(t *testing.T, role, path string) *processtest.Process {
	t.Helper()
	p := processtest.NewProcess(binary, []string{role}, []string{"SYCAMORETALLY_SETTINGS=" + path})
	assert.NilError(t, p.Start())
	t.Cleanup(func() {
		if p.Running() {
			_ = p.Kill()
		}
	})
	return p
}

// TestReloadSettings changes a gateway's settings while it runs: after SIGHUP it logs
// each changed setting, and an invalid file changes nothing.
func TestReloadSettings(t *testing.T) {
	t.Parallel()
	const limit, host = 10 * time.Second, "127.45.1.3"
	node := platformtest.Node{
		Name: "gateway", DataCentre: "dc", Address: host, Callers: host + ":8144", Ready: host + ":8140",
		Store: host + ":8142", Grace: 20 * time.Second,
	}
	path := filepath.Join(t.TempDir(), "settings")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write(node.Settings())
	p := startRole(t, "gateway", path)
	awaitLogLine := func(parts ...string) {
		t.Helper()
		for deadline := time.Now().Add(limit); !hasLine(p.Log(), parts); <-time.After(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "no log line with %v:\n%s", parts, p.Log())
		}
	}
	awaitLogLine("gateway started")
	write("no settings")
	assert.NilError(t, p.Signal(syscall.SIGHUP))
	awaitLogLine("settings not read again", "malformed")
	node.Grace = time.Second
	write(node.Settings())
	assert.NilError(t, p.Signal(syscall.SIGHUP))
	awaitLogLine("setting changed", "setting=grace", "before=20s", "after=1s", "needs_restart=false")
	awaitLogLine("settings read again", "changes=1")
	assert.NilError(t, p.Signal(syscall.SIGTERM))
	code, err := p.Wait(limit)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%s", p.Log())
}

// hasLine reports whether one line of the log contains all parts.
func hasLine(log string, parts []string) bool {
	for line := range strings.Lines(log) {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			return true
		}
	}
	return false
}

// TestStopWhileStarting sends SIGHUP and SIGTERM to a role that is still reading its
// settings: it must finish starting and then stop with exit code 0.
func TestStopWhileStarting(t *testing.T) {
	t.Parallel()
	const limit = 10 * time.Second
	for i, role := range []string{"gateway", "batcher"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			host := []string{"127.45.1.1", "127.45.1.2"}[i]
			node := platformtest.Node{
				Name: role, DataCentre: "dc", Address: host, Callers: host + ":8144", Ready: host + ":8140",
				App: host + ":8080", Service: "s", Store: host + ":8142", Grace: time.Second,
			}
			path := filepath.Join(t.TempDir(), "settings")
			assert.NilError(t, syscall.Mkfifo(path, 0o600))
			p := startRole(t, role, path)
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the role opens the file
			assert.NilError(t, err)
			assert.NilError(t, p.Signal(syscall.SIGHUP))
			assert.NilError(t, p.Signal(syscall.SIGTERM))
			_, err = settings.WriteString(node.Settings())
			assert.NilError(t, err)
			assert.NilError(t, settings.Close())
			code, err := p.Wait(limit)
			assert.NilError(t, err)
			assert.Equal(t, code, 0, "%s", p.Log())
			assert.Assert(t, strings.Contains(p.Log(), "process starting"), "%s", p.Log())
			assert.Assert(t, strings.Contains(p.Log(), role+" stopped"), "%s", p.Log())
		})
	}
}

// startSilentTarget starts a target that never answers, registered at a store that the settings
// of node name, with an unsafe route to it. It returns the number of requests it got.
func startSilentTarget(t *testing.T, node platformtest.Node) *atomic.Int32 {
	t.Helper()
	requests := &atomic.Int32{}
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // until then the server does not notice a closed connection
		requests.Add(1)
		<-r.Context().Done()
	}))
	t.Cleanup(silent.Close)
	store := fleetstore.New()
	l, err := net.Listen("tcp", node.Store)
	assert.NilError(t, err)
	server := &http.Server{Handler: platformtest.StoreHandler(store), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	route := platformtest.Route{Name: "r", Host: "h.example", PathPrefix: "/r/", Kind: "unsafe", Service: "s", Attempts: 1, TimeoutMS: 2500}
	assert.NilError(t, platformtest.PublishConfiguration(t.Context(), store, 1, []platformtest.Route{route}, []platformtest.Service{{Name: "s"}}))
	entry := fmt.Sprintf(`{"service":"s","address":%q,"zone":"dc","slots":4,"state":"ready","born":%d}`, silent.Listener.Addr(), time.Now().UnixMilli())
	_, err = store.Append(t.Context(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: "i-1", Value: []byte(entry)}})
	assert.NilError(t, err)
	return requests
}

// accepts reports whether a connection to the address can be opened. A role follows the store
// before it listens.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// TestStoppedGatewayAnswersWhatItHasTaken stops a gateway whose target takes longer than the
// grace period. A request that the target has got must be answered before the process ends,
// with a status that promises nothing. One that comes while the gateway drains, and may
// outlast it, must be refused before it reaches the target.
func TestStoppedGatewayAnswersWhatItHasTaken(t *testing.T) {
	t.Parallel()
	const limit, host = 10 * time.Second, "127.45.1.4"
	node := platformtest.Node{
		Name: "gateway", DataCentre: "dc", Address: host, Callers: host + ":8144", Ready: host + ":8140", Store: host + ":8142", Grace: 2 * time.Second,
	}
	requests := startSilentTarget(t, node)
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, []byte(node.Settings()), 0o600))
	p := startRole(t, "gateway", path)
	call := func(id string) (int, error) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+node.Callers+"/r/1", strings.NewReader("x"))
		assert.NilError(t, err)
		r.Host = "h.example"
		r.Header.Set(platformtest.HeaderRequestID, id)
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for deadline := time.Now().Add(limit); ; <-time.After(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%s", p.Log())
		if strings.Contains(p.Log(), "target registered") && strings.Contains(p.Log(), "configuration in force") && accepts(node.Callers) {
			break
		}
	}
	type answer struct {
		status int
		err    error
	}
	taken := make(chan answer, 1)
	go func() {
		status, err := call("taken")
		taken <- answer{status, err}
	}()
	for deadline := time.Now().Add(limit); requests.Load() == 0; {
		assert.Assert(t, time.Now().Before(deadline), "%s", p.Log())
		select {
		case early := <-taken:
			t.Fatalf("the request ended before it reached the target: %+v\n%s", early, p.Log())
		case <-time.After(10 * time.Millisecond):
		}
	}
	assert.NilError(t, p.Signal(syscall.SIGTERM))
	for deadline := time.Now().Add(limit); !strings.Contains(p.Log(), "gateway draining"); <-time.After(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%s", p.Log())
	}
	status, err := call("late")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	got := <-taken
	assert.NilError(t, got.err, "cut without an answer")
	assert.Equal(t, got.status, http.StatusBadGateway)
	code, err := p.Wait(limit)
	assert.NilError(t, err)
	assert.Equal(t, code, 0, "%s", p.Log())
	assert.Equal(t, requests.Load(), int32(1))
}
