package main

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/entry"
	"github.com/sycamoretally/sycamoretally/processtest"
)

// TestStatusWatch reads states until a drained target shows, and interrupts the
// command: it ends in order.
func TestStatusWatch(t *testing.T) {
	s := startExample(t, "strakvagen")
	s.runUntil(contains("ready"), "status", "--selector", "rack=rack-1")
	watch := exec.CommandContext(t.Context(), binary, "status", "--watch", "--interval", "20ms", "--selector", "rack=rack-1", "-o", "json", "--config", s.path("client.toml"))
	out, err := watch.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, watch.Start())
	drained := false
	lines := bufio.NewScanner(out)
	for seen := 0; !drained && lines.Scan(); seen++ {
		var status entry.Status
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &status))
		assert.Equal(t, len(status.Targets), 1)
		drained = status.Targets[0].State == "drained"
		if seen == 1 {
			s.run(0, "drain", "--selector", "rack=rack-1")
		}
	}
	assert.Assert(t, drained, "the watch ended early: %v", lines.Err())
	assert.NilError(t, watch.Process.Signal(os.Interrupt))
	for lines.Scan() {
		continue
	}
	assert.NilError(t, watch.Wait())
}

// TestStatusWatchWithAWrongKey ends at once.
func TestStatusWatchWithAWrongKey(t *testing.T) {
	s := startExample(t, "strakvagen")
	path := s.write("wrong.toml", "role = \"client\"\n[client]\nentries = [\"http://"+s.site.Entries[0].Settings.Process.HTTP+"\"]\noperator_key = \"wrong\"\n")
	ran, err := processtest.Run(binary, "status", "--watch", "--config", path)
	assert.NilError(t, err)
	assert.Equal(t, ran.ExitCode, exitNotRun)
}
