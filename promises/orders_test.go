package promises

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/standin/weightstore"
	"github.com/sycamoretally/sycamoretally/state"
)

// rollLimit is the timeout of a complete roll-out in these tests, not a guaranteed
// bound.
const rollLimit = 2 * time.Minute

// startLoadSite starts a site of drafting engines that take time to load models;
// checks sets whether the engines check fencing tokens.
func startLoadSite(t *testing.T, engines int, checks bool, weights *weightstore.Store) (*demo.Site, *client.Client) {
	layout := demo.DefaultLayout()
	layout.Entries, layout.Engines, layout.Services = 1, engines, 0
	layout.Engine.LoadTime = 100 * time.Millisecond
	layout.Engine.ChecksFence = checks
	layout.Weights = weights
	acquireSite(t, inProcessSites)
	site, err := demo.Start(layout)
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	publishDrafting(t, site.Client)
	c := client.New(site.Client)
	t.Cleanup(c.Close)
	eventually(t, 10*time.Second, func() error { return checkReadyTargets(t, c, engines) })
	return site, c
}

// publishPlacement publishes a placement of the version on all drafting targets,
// based on the newest version of the object.
func publishPlacement(t *testing.T, c *client.Client, name, version string) error {
	objects, err := c.Objects(t.Context(), string(protocol.KindPlacement), name)
	if err != nil {
		return err
	}
	o := protocol.Object{Kind: protocol.KindPlacement, Name: name, Placement: &protocol.Placement{
		Selector: protocol.Selector{"role": "drafting"}, Model: "drafter", Version: version, MaxUnavailablePercent: 25,
	}}
	if len(objects) > 0 {
		o.Base = objects[0].Version
	}
	_, err = c.Apply(t.Context(), "test", []protocol.Object{o})
	return err
}

// awaitVersion waits until the last load order of every engine is for the version.
func awaitVersion(t *testing.T, site *demo.Site, version string) {
	t.Helper()
	eventually(t, rollLimit, func() error {
		for i, e := range site.Engines {
			orders := e.Orders()
			if len(orders) == 0 || orders[len(orders)-1].Version != version {
				return protocol.ErrBusy.New("engine %d has the orders %v", i, orders)
			}
		}
		return nil
	})
}

// checkFences checks that no engine accepted an order with an older fencing token
// after one with a newer token.
func checkFences(t *testing.T, orders []backend.LoadOrder) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		assert.Assert(t, orders[i].Fence >= orders[i-1].Fence, "%v", orders)
	}
}

// replayConfig folds the configuration stream and returns the highest number of
// targets that loaded at the same time, the number of records about turns, and the
// number of targets.
func replayConfig(t *testing.T, site *demo.Site) (maxLoading, records, targets int) {
	t.Helper()
	config := state.NewConfigFold()
	loads := state.NewLoads(config)
	seen := map[string]bool{}
	for from := uint64(0); ; {
		page, err := site.Log.Read(t.Context(), protocol.StreamConfig, from, backend.PageLimit, 0)
		assert.NilError(t, err)
		if len(page.Entries) == 0 {
			return maxLoading, records, len(seen)
		}
		for _, e := range page.Entries {
			batch, err := protocol.DecodeBatch(e.Data)
			assert.NilError(t, err)
			for i := range batch {
				pos := protocol.PositionAt(e.Offset, i)
				config.Apply(pos, &batch[i])
				loads.Apply(pos, &batch[i])
				maxLoading = max(maxLoading, len(loads.Loading()))
				if h := batch[i].Hello; h != nil {
					seen[h.Target] = true
				}
				if batch[i].Claim != nil || batch[i].Renew != nil || batch[i].Load != nil || batch[i].Revoke != nil {
					records++
				}
			}
			from = e.Offset + 1
		}
	}
}

// TestRollIsStaggered rolls out a version to 12 targets under load, with a weight
// store that limits its rate: never more than a quarter of the targets may be
// unavailable, and no request may fail.
func TestRollIsStaggered(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(10, 1, 1<<16)
	site, c := startLoadSite(t, 12, true, weights)
	stop := make(chan struct{})
	var requests sync.WaitGroup
	requests.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			text := fmt.Sprint("during the roll ", i)
			a, err := c.Chat(t.Context(), chatRequest(text, 20, true), client.CallOptions{}, nil)
			if assert.Check(t, err) {
				assert.Check(t, string(a.Body) == engine.Answer(text, 20))
			}
		}
	})
	begun := time.Now()
	assert.NilError(t, publishPlacement(t, c, "drafter", "1"))
	awaitVersion(t, site, "1")
	took := time.Since(begun)
	close(stop)
	requests.Wait()
	maxLoading, records, targets := replayConfig(t, site)
	t.Logf("12 targets in %v, at most %d unavailable, %d turn records, %d fetches, %d refused", took, maxLoading, records, weights.Fetches(), weights.Refused())
	assert.Equal(t, targets, 12)
	assert.Assert(t, maxLoading <= 3, "%d of 12 targets were unavailable at the same time", maxLoading)
	for _, e := range site.Engines {
		assert.Equal(t, len(e.Orders()), 1)
	}
}

// TestOperatorsRace lets two operators publish versions concurrently: the version
// accepted last must be loaded in the end, and no engine may accept an older order
// after a newer one, whether it checks fencing tokens or not.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := startLoadSite(t, 4, checks, nil)
			var operators sync.WaitGroup
			for _, name := range []string{"left", "right"} {
				operators.Go(func() {
					for i := range 6 {
						_ = publishPlacement(t, c, "drafter", fmt.Sprintf("%s-%d", name, i)) // a conflict with the other operator is expected
						<-time.After(100 * time.Millisecond)
					}
				})
			}
			operators.Wait()
			objects, err := c.Objects(t.Context(), string(protocol.KindPlacement), "drafter")
			assert.NilError(t, err)
			awaitVersion(t, site, objects[0].Placement.Version)
			for _, e := range site.Engines {
				checkFences(t, e.Orders())
			}
		})
	}
}

// TestWeightStoreDown begins a roll while the weight store is down: no target may
// get a load order, the targets must keep serving, and the roll must complete once
// the store is back.
func TestWeightStoreDown(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(100, 10, 1<<10)
	weights.SetDown(true)
	site, c := startLoadSite(t, 4, true, weights)
	assert.NilError(t, publishPlacement(t, c, "drafter", "1"))
	eventually(t, 30*time.Second, func() error {
		if weights.Refused() < 3 {
			return protocol.ErrBusy.New("the weight store has refused %d fetches", weights.Refused())
		}
		return nil
	})
	for _, e := range site.Engines {
		assert.Equal(t, len(e.Orders()), 0)
	}
	a, err := c.Chat(t.Context(), chatRequest("Is there heat?", 5, true), client.CallOptions{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), engine.Answer("Is there heat?", 5))
	weights.SetDown(false)
	awaitVersion(t, site, "1")
	maxLoading, _, _ := replayConfig(t, site)
	assert.Equal(t, maxLoading, 1)
}

// TestCrashWhileLoading crashes the engines while one of them has its turn to load:
// it must load again, and the others must still get their turns.
func TestCrashWhileLoading(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(100, 10, 1<<10)
	weights.SetDown(true)
	site, c := startLoadSite(t, 2, false, weights)
	assert.NilError(t, publishPlacement(t, c, "drafter", "1"))
	eventually(t, 30*time.Second, func() error {
		if weights.Refused() < 1 {
			return protocol.ErrBusy.New("no target is loading yet")
		}
		return nil
	})
	for _, e := range site.Engines {
		e.Crash()
	}
	weights.SetDown(false)
	awaitVersion(t, site, "1")
	for _, e := range site.Engines {
		checkFences(t, e.Orders())
	}
}
