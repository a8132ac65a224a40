package promises

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// pausedSite is a site whose sidecars wait in their turns for the weight store.
func pausedSite(t *testing.T, engines int, checks bool) (*processtest.Site, *client.Client) {
	layout := processtest.Layout{
		Entries: 1, Engines: engines, Slots: 2,
		Engine: settings.StandInEngine{Width: 2, ChecksFence: checks},
		Store:  settings.StandInStore{FetchesPerSecond: 100, Burst: 10, SizeBytes: 1 << 10},
	}
	site, c := startProcesses(t, layout)
	setStoreDown(t, site, true)
	return site, c
}

func setStoreDown(t *testing.T, site *processtest.Site, down bool) {
	t.Helper()
	method := http.MethodDelete
	if down {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+site.Store.Settings.StandIn.Listen+"/down", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
}

// loadingTarget returns the index of the target that is out to load, once one is.
func loadingTarget(t *testing.T, c *client.Client) int {
	t.Helper()
	index := -1
	eventually(t, 30*time.Second, func() error {
		status, err := c.Status(t.Context())
		if err != nil {
			return err
		}
		for i, target := range status.Targets {
			if target.State == "leaving" {
				index = i
				return nil
			}
		}
		return protocol.ErrBusy.New("no target loads")
	})
	return index
}

func versionsAt(t *testing.T, p *processtest.Process) string {
	t.Helper()
	var orders []backend.LoadOrder
	assert.NilError(t, processtest.ReadJSON("http://"+p.Settings.StandIn.Listen+"/orders", &orders))
	checkFences(t, orders)
	var versions []string
	for _, o := range orders {
		versions = append(versions, o.Version)
	}
	return strings.Join(versions, " ")
}

func awaitVersionsAt(t *testing.T, p *processtest.Process, want string) {
	t.Helper()
	eventually(t, time.Minute, func() error {
		if got := versionsAt(t, p); got != want {
			return protocol.ErrBusy.New("has %q, want %q", got, want)
		}
		return nil
	})
}

// logged fails where the process has not logged the text.
func logged(p *processtest.Process, text string) error {
	if !strings.Contains(p.Log(), text) {
		return protocol.ErrBusy.New("%s has not logged %q", p.Settings.Process.Instance, text)
	}
	return nil
}

// TestReplacedHolderGivesNoOrder pauses a sidecar in its turn, replaces it, has
// two versions loaded by the new one, and lets the old one go on.
func TestReplacedHolderGivesNoOrder(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := pausedSite(t, 1, checks)
			assert.NilError(t, place(t, c, "drafter", "1"))
			loadingTarget(t, c)
			old := site.Sidecars[0]
			assert.NilError(t, old.Signal(syscall.SIGSTOP))
			assert.NilError(t, site.AddSecondSidecar(0))
			assert.NilError(t, site.PublishInstances())
			setStoreDown(t, site, false)
			awaitVersionsAt(t, site.Engines[0], "1")
			assert.NilError(t, place(t, c, "drafter", "2"))
			awaitVersionsAt(t, site.Engines[0], "1 2")
			assert.NilError(t, old.Signal(syscall.SIGCONT))
			eventually(t, time.Minute, func() error {
				assert.Equal(t, versionsAt(t, site.Engines[0]), "1 2")
				return logged(old, "load not done")
			})
		})
	}
}

// TestPausedHolderLosesItsTurn pauses a sidecar in its turn past its lease, while
// its target's placement changes: the other target gets the turn, and the paused
// one loads only the newest version when it goes on.
func TestPausedHolderLosesItsTurn(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := pausedSite(t, 2, checks)
			assert.NilError(t, place(t, c, "drafter", "1"))
			paused := loadingTarget(t, c)
			assert.NilError(t, site.Sidecars[paused].Signal(syscall.SIGSTOP))
			assert.NilError(t, place(t, c, "drafter", "2"))
			setStoreDown(t, site, false)
			awaitVersionsAt(t, site.Engines[1-paused], "2")
			assert.Equal(t, versionsAt(t, site.Engines[paused]), "")
			assert.NilError(t, site.Sidecars[paused].Signal(syscall.SIGCONT))
			awaitVersionsAt(t, site.Engines[paused], "2")
			eventually(t, time.Minute, func() error { return logged(site.Sidecars[paused], "load not done") })
		})
	}
}
