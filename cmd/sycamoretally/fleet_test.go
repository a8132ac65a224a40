package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/processtest"
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
