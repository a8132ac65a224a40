package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const soundConfiguration = `{"version":7,
"routes":[{"name":"r","host":"h.example","path_prefix":"/r/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"service":"s","attempts":2}],
"services":[{"name":"s","health_check_path":"/health","connection_limit":310,"engine":{"slots":8}}]}`

// checkFile runs config check on a file of the text and returns its output and exit code.
func checkFile(t *testing.T, text string, args ...string) (output string, code int, message string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "next.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	var out bytes.Buffer
	root := rootCommand()
	root.SetOut(&out)
	root.SetErr(&out)
	root.SetArgs(append([]string{"config", "check", path}, args...))
	if err := root.Execute(); err != nil {
		return out.String(), exitCode(err), err.Error()
	}
	return out.String(), 0, ""
}

// TestConfigCheckTellsWhere checks files that gateways could not read. The operator must be
// told the line and the entry, by the decoder that gateways use.
func TestConfigCheckTellsWhere(t *testing.T) {
	_, code, message := checkFile(t, strings.Replace(soundConfiguration, `"attempts":2}`, `"attempts":2,}`, 1))
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(message, "next.json:2:"), message)
	_, code, message = checkFile(t, strings.Replace(soundConfiguration, `"slots":8`, `"slots":"8"`, 1))
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(message, "next.json:3:") && strings.Contains(message, "slots"), message)
	_, code, _ = checkFile(t, "")
	assert.Equal(t, code, exitFailed)
}

// TestConfigCheckExitCode checks that a script can tell a configuration that cannot work from
// one that can, in both formats.
func TestConfigCheckExitCode(t *testing.T) {
	output, code, _ := checkFile(t, soundConfiguration)
	assert.Equal(t, code, 0)
	assert.Equal(t, output, "")
	broken := strings.Replace(soundConfiguration, `"service":"s"`, `"service":"gone"`, 1)
	output, code, _ = checkFile(t, broken)
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(output, "error: route r: service gone does not exist (unknown_service)"), output)
	output, code, _ = checkFile(t, broken, "-o", "json")
	assert.Equal(t, code, exitFailed)
	var result checkResult
	assert.NilError(t, json.Unmarshal([]byte(output), &result))
	assert.Equal(t, result.Version, int64(7))
	assert.Equal(t, len(result.Findings), 2, "the service that no route names is found as well")
}

// TestConfigCheckAgainst compares with the configuration in force.
func TestConfigCheckAgainst(t *testing.T) {
	current := filepath.Join(t.TempDir(), "current.json")
	assert.NilError(t, os.WriteFile(current, []byte(soundConfiguration), 0o600))
	next := strings.NewReplacer(`"version":7`, `"version":8`, `"timeout_ms":5000`, `"timeout_ms":4000`).Replace(soundConfiguration)
	output, code, _ := checkFile(t, next, "--against", current)
	assert.Equal(t, code, 0)
	assert.Equal(t, output, "change: route r: time limit 5s -> 4s\n")
	output, code, _ = checkFile(t, soundConfiguration, "--against", current)
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(output, "version_not_newer"), output)
}
