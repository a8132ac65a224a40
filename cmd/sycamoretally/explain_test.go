package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExplain checks that explain merges a request's lines from two log files in order
// of time and skips other lines.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	a := write("a.log", "time=2026-01-01T00:00:02Z level=info event=\"request ended\" request=r1 outcome=answered\nnot a log line\n")
	b := write("b.log", "12.5 side-1 time=2026-01-01T00:00:01Z level=info event=attempt request=r1\ntime=2026-01-01T00:00:03Z level=info event=attempt request=r2\n")
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		cmd := rootCommand()
		cmd.SetOut(&out)
		cmd.SetArgs(append([]string{"explain"}, args...))
		err := cmd.Execute()
		return out.String(), err
	}
	text, err := run("r1", a, b)
	assert.NilError(t, err)
	assert.Equal(t, text, "12.5 side-1 time=2026-01-01T00:00:01Z level=info event=attempt request=r1\n"+
		"time=2026-01-01T00:00:02Z level=info event=\"request ended\" request=r1 outcome=answered\n")
	_, err = run("r3", a, b)
	assert.ErrorContains(t, err, "r3")
	_, err = run("r1", filepath.Join(dir, "none"))
	assert.Assert(t, err != nil)
}

// TestNodeCheck checks that node check reports every fault of a settings file with its
// key.
func TestNodeCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.conf")
	assert.NilError(t, os.WriteFile(path, []byte("node_name=a\nlimits.memory_mb=lots\n"), 0o600))
	cmd := rootCommand()
	cmd.SetArgs([]string{"node", "check", path})
	err := cmd.Execute()
	assert.ErrorContains(t, err, "limits.memory_mb")
	assert.ErrorContains(t, err, "platform.address is missing")
	assert.Equal(t, exitCode(err), exitFailed)
	assert.NilError(t, os.WriteFile(path, []byte("node_name=a\nip_address=10.0.0.1\nzone=z\nplatform.address=10.0.0.2:1\n"), 0o600))
	var out bytes.Buffer
	cmd = rootCommand()
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"node", "check", path})
	assert.NilError(t, cmd.Execute())
	assert.Assert(t, bytes.Contains(out.Bytes(), []byte("10.0.0.2:1")), out.String())
}
