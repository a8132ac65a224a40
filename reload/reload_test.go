package reload_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/reload"
)

// fixture is a settings file, whose text is the name of the instance, with the settings
// loaded from it.
type fixture struct {
	path     string
	applied  []*fleet.Node
	settings *reload.Settings
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s := &fixture{path: filepath.Join(t.TempDir(), "settings")}
	s.write(t, "a", time.Unix(1000, 0))
	s.settings = reload.New(reload.Params{
		Path: s.path, Load: load, Apply: func(n *fleet.Node) { s.applied = append(s.applied, n) },
	}, &fleet.Node{Name: "a", GracePeriod: time.Second})
	return s
}

func load(path string) (*fleet.Node, error) {
	text, err := os.ReadFile(path)
	if err != nil || string(text) == "faulty" {
		return nil, fleet.ErrMalformed.New("settings file is faulty")
	}
	return &fleet.Node{Name: string(text), GracePeriod: 2 * time.Second}, nil
}

func (s *fixture) write(t *testing.T, text string, at time.Time) {
	t.Helper()
	assert.NilError(t, os.WriteFile(s.path, []byte(text), 0o600))
	assert.NilError(t, os.Chtimes(s.path, at, at))
}

// TestReloadsChangedFile checks that a file is reloaded once for each change.
func TestReloadsChangedFile(t *testing.T) {
	s := newFixture(t)
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 0)
	s.write(t, "b", time.Unix(1001, 0))
	s.settings.ReloadIfChanged()
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 1)
	assert.Equal(t, s.applied[0].GracePeriod, 2*time.Second)
}

// TestReloadsOnRequest checks that a request reloads a file whose modification time and
// size have not changed.
func TestReloadsOnRequest(t *testing.T) {
	s := newFixture(t)
	s.write(t, "b", time.Unix(1000, 0))
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 0)
	s.settings.Reload()
	assert.Equal(t, len(s.applied), 1)
}

// TestFaultyFileChangesNothing checks that the settings read before stay in force while
// the file is faulty or missing, and that a correct file is then applied.
func TestFaultyFileChangesNothing(t *testing.T) {
	s := newFixture(t)
	s.write(t, "faulty", time.Unix(1001, 0))
	s.settings.ReloadIfChanged()
	assert.NilError(t, os.Remove(s.path))
	s.settings.ReloadIfChanged()
	s.settings.Reload()
	assert.Equal(t, len(s.applied), 0)
	s.write(t, "c", time.Unix(1002, 0))
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 1)
}
