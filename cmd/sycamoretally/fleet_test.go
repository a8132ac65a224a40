package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/processtest"
)

// TestStopWhileStarting tells a role to read its settings again and to stop while
// it still waits for its settings: it goes on, and then stops in order.
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
			p := processtest.NewProcess(binary, []string{role}, []string{"SYCAMORETALLY_SETTINGS=" + path})
			assert.NilError(t, p.Start())
			t.Cleanup(func() {
				if p.Running() {
					_ = p.Kill()
				}
			})
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the role opens it
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
