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

// site is a settings file whose text is the name of the instance.
type site struct {
	path     string
	applied  []*fleet.Node
	settings *reload.Settings
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{path: filepath.Join(t.TempDir(), "settings")}
	s.write(t, "a", time.Unix(1000, 0))
	s.settings = reload.New(reload.Params{
		Path: s.path, Load: load, Apply: func(n *fleet.Node) { s.applied = append(s.applied, n) },
	}, &fleet.Node{Name: "a", GracePeriod: time.Second})
	return s
}

func load(path string) (*fleet.Node, error) {
	text, err := os.ReadFile(path)
	if err != nil || string(text) == "faulty" {
		return nil, fleet.ErrMalformed.New("a faulty file")
	}
	return &fleet.Node{Name: string(text), GracePeriod: 2 * time.Second}, nil
}

func (s *site) write(t *testing.T, text string, at time.Time) {
	t.Helper()
	assert.NilError(t, os.WriteFile(s.path, []byte(text), 0o600))
	assert.NilError(t, os.Chtimes(s.path, at, at))
}

// TestReadsWhatChanged reads a file once for each time that it was written.
func TestReadsWhatChanged(t *testing.T) {
	s := newSite(t)
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 0)
	s.write(t, "b", time.Unix(1001, 0))
	s.settings.ReloadIfChanged()
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 1)
	assert.Equal(t, s.applied[0].GracePeriod, 2*time.Second)
}

// TestReadsWhenTold reads a file whose stamp is as before.
func TestReadsWhenTold(t *testing.T) {
	s := newSite(t)
	s.write(t, "b", time.Unix(1000, 0))
	s.settings.ReloadIfChanged()
	assert.Equal(t, len(s.applied), 0)
	s.settings.Reload()
	assert.Equal(t, len(s.applied), 1)
}

// TestFaultyFileChangesNothing keeps what was read before while the file is faulty or
// gone, and takes it once it is whole.
func TestFaultyFileChangesNothing(t *testing.T) {
	s := newSite(t)
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
