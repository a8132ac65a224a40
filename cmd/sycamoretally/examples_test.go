package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/settings"
)

const exampleDir = "../../examples"

// TestExampleFiles loads every example file: settings without a fault, and
// objects that are valid.
func TestExampleFiles(t *testing.T) {
	for _, site := range []string{"nairobi", "strakvagen"} {
		paths, err := filepath.Glob(filepath.Join(exampleDir, site, "*.toml"))
		assert.NilError(t, err)
		roles := map[settings.Role]int{}
		for _, path := range paths {
			if filepath.Base(path) == "objects.toml" {
				objects, err := readObjects(path)
				assert.NilError(t, err)
				for _, o := range objects {
					assert.NilError(t, o.Validate())
				}
				continue
			}
			s, err := settings.Load(path)
			assert.NilError(t, err)
			roles[s.Role]++
		}
		assert.DeepEqual(t, roles, map[settings.Role]int{
			settings.RoleStandInLog: 1, settings.RoleStandInList: 1, settings.RoleStandInEngine: 2, settings.RoleStandInPlain: 1,
			settings.RoleSidecar: 3, settings.RoleEntry: 2, settings.RoleClient: 1,
		})
	}
}

// session is an operator's session against a running example.
type session struct {
	t    *testing.T
	site *processtest.Site
	dir  string
}

// startExample starts an example as its files stand, but for the loopback address.
func startExample(t *testing.T, name string, flags ...string) *session {
	t.Helper()
	s := &session{t: t, dir: t.TempDir()}
	pid := os.Getpid()
	loopback := fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&63, pid>>8&255, 1+pid&127)
	assert.NilError(t, processtest.CopyFiles(filepath.Join(exampleDir, name), s.dir, loopback))
	site, err := processtest.StartFiles(binary, s.dir, flags...)
	s.site = site
	t.Cleanup(func() {
		site.Close()
		if t.Failed() {
			logProcesses(t, site)
		}
	})
	assert.NilError(t, err)
	return s
}

func (s *session) path(name string) string { return filepath.Join(s.dir, name) }

// write writes a file that a command reads and returns its path.
func (s *session) write(name, text string) string {
	s.t.Helper()
	assert.NilError(s.t, os.WriteFile(s.path(name), []byte(text), 0o600))
	return s.path(name)
}

// run runs a command with the example's client settings and expects an exit code.
func (s *session) run(code int, args ...string) string {
	s.t.Helper()
	ran, err := processtest.Run(binary, append(args, "--config", s.path("client.toml"))...)
	assert.NilError(s.t, err)
	assert.Equal(s.t, ran.ExitCode, code, "%v: %s%s", args, ran.Stdout, ran.Stderr)
	return ran.Stdout
}

// runUntil runs a command until check accepts what it prints.
func (s *session) runUntil(check func(out string) bool, args ...string) string {
	s.t.Helper()
	const limit = 20 * time.Second
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.Now().Add(limit)
	for {
		ran, err := processtest.Run(binary, append(args, "--config", s.path("client.toml"))...)
		assert.NilError(s.t, err)
		if ran.ExitCode == 0 && check(ran.Stdout) {
			return ran.Stdout
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("%v: not within %v: %s%s", args, limit, ran.Stdout, ran.Stderr)
		}
		<-ticker.C
	}
}
