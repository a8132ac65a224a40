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

// startSiteWithStoreDown starts a site whose weight store is down, so that a sidecar
// that has its turn to load waits for the store.
func startSiteWithStoreDown(t *testing.T, engines int, checks bool) (*processtest.Site, *client.Client) {
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

// awaitLoadingTarget waits until a target is loading and returns its index.
func awaitLoadingTarget(t *testing.T, c *client.Client) int {
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
		return protocol.ErrBusy.New("no target is loading")
	})
	return index
}

// versionsAt returns the versions of all load orders that the engine has accepted.
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
			return protocol.ErrBusy.New("the engine has loaded %q, want %q", got, want)
		}
		return nil
	})
}

// checkLogged returns an error unless the process has logged the text.
func checkLogged(p *processtest.Process, text string) error {
	if !strings.Contains(p.Log(), text) {
		return protocol.ErrBusy.New("%s has not logged %q", p.Settings.Process.Instance, text)
	}
	return nil
}

// TestReplacedHolderGivesNoOrder suspends a sidecar during its turn, replaces it,
// lets the new one load two versions, and resumes the old one: it must give no
// order.
func TestReplacedHolderGivesNoOrder(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := startSiteWithStoreDown(t, 1, checks)
			assert.NilError(t, publishPlacement(t, c, "drafter", "1"))
			awaitLoadingTarget(t, c)
			old := site.Sidecars[0]
			assert.NilError(t, old.Signal(syscall.SIGSTOP))
			assert.NilError(t, site.AddSecondSidecar(0))
			assert.NilError(t, site.PublishInstances())
			setStoreDown(t, site, false)
			awaitVersionsAt(t, site.Engines[0], "1")
			assert.NilError(t, publishPlacement(t, c, "drafter", "2"))
			awaitVersionsAt(t, site.Engines[0], "1 2")
			assert.NilError(t, old.Signal(syscall.SIGCONT))
			eventually(t, time.Minute, func() error {
				assert.Equal(t, versionsAt(t, site.Engines[0]), "1 2")
				return checkLogged(old, "load not done")
			})
		})
	}
}

// TestPausedHolderLosesItsTurn suspends a sidecar during its turn until its lease
// has expired, while the placement of its target changes: the other target must get
// the turn, and the suspended sidecar must load only the newest version after it
// resumes.
func TestPausedHolderLosesItsTurn(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := startSiteWithStoreDown(t, 2, checks)
			assert.NilError(t, publishPlacement(t, c, "drafter", "1"))
			suspended := awaitLoadingTarget(t, c)
			assert.NilError(t, site.Sidecars[suspended].Signal(syscall.SIGSTOP))
			assert.NilError(t, publishPlacement(t, c, "drafter", "2"))
			setStoreDown(t, site, false)
			awaitVersionsAt(t, site.Engines[1-suspended], "2")
			assert.Equal(t, versionsAt(t, site.Engines[suspended]), "")
			assert.NilError(t, site.Sidecars[suspended].Signal(syscall.SIGCONT))
			awaitVersionsAt(t, site.Engines[suspended], "2")
			eventually(t, time.Minute, func() error { return checkLogged(site.Sidecars[suspended], "load not done") })
		})
	}
}
