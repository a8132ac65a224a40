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

// rollLimit bounds a whole roll in these tests; it is no claim of speed.
const rollLimit = 2 * time.Minute

func orderSite(t *testing.T, engines int, checks bool, weights *weightstore.Store) (*demo.Site, *client.Client) {
	layout := demo.DefaultLayout()
	layout.Entries, layout.Engines, layout.Services = 1, engines, 0
	layout.Engine.LoadTime = 100 * time.Millisecond
	layout.Engine.ChecksFence = checks
	layout.Weights = weights
	takeSite(t, ownSites)
	site, err := demo.Start(layout)
	t.Cleanup(site.Close)
	assert.NilError(t, err)
	configureDrafting(t, site.Client)
	c := client.New(site.Client)
	t.Cleanup(c.Close)
	eventually(t, 10*time.Second, func() error { return allReady(t, c, engines) })
	return site, c
}

// place publishes a version for all drafting targets, from the newest base.
func place(t *testing.T, c *client.Client, name, version string) error {
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

// awaitVersion waits until every engine's last order is for the version.
func awaitVersion(t *testing.T, site *demo.Site, version string) {
	t.Helper()
	eventually(t, rollLimit, func() error {
		for i, e := range site.Engines {
			orders := e.Orders()
			if len(orders) == 0 || orders[len(orders)-1].Version != version {
				return protocol.ErrBusy.New("engine %d has %v", i, orders)
			}
		}
		return nil
	})
}

// checkFences checks that no engine took an order with an older fencing number
// after a newer one.
func checkFences(t *testing.T, orders []backend.LoadOrder) {
	t.Helper()
	for i := 1; i < len(orders); i++ {
		assert.Assert(t, orders[i].Fence >= orders[i-1].Fence, "%v", orders)
	}
}

// replay folds the configuration's stream and returns the most targets out at
// once, the records of the turns and the number of targets.
func replay(t *testing.T, site *demo.Site) (most, records, targets int) {
	t.Helper()
	config := state.NewConfigFold()
	loads := state.NewLoads(config)
	known := map[string]bool{}
	for from := uint64(0); ; {
		page, err := site.Log.Read(t.Context(), protocol.StreamConfig, from, backend.PageLimit, 0)
		assert.NilError(t, err)
		if len(page.Entries) == 0 {
			return most, records, len(known)
		}
		for _, e := range page.Entries {
			batch, err := protocol.DecodeBatch(e.Data)
			assert.NilError(t, err)
			for i := range batch {
				pos := protocol.PositionAt(e.Offset, i)
				config.Apply(pos, &batch[i])
				loads.Apply(pos, &batch[i])
				most = max(most, len(loads.Loading()))
				if h := batch[i].Hello; h != nil {
					known[h.Target] = true
				}
				if batch[i].Claim != nil || batch[i].Renew != nil || batch[i].Load != nil || batch[i].Revoke != nil {
					records++
				}
			}
			from = e.Offset + 1
		}
	}
}

// TestRollIsStaggered rolls 12 targets under requests with a weight store that
// limits its rate: never more than a quarter is out, and no request fails.
func TestRollIsStaggered(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(10, 1, 1<<16)
	site, c := orderSite(t, 12, true, weights)
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			text := fmt.Sprint("during the roll ", i)
			a, err := c.Chat(t.Context(), question(text, 20, true), client.CallOptions{}, nil)
			if assert.Check(t, err) {
				assert.Check(t, string(a.Body) == engine.Answer(text, 20))
			}
		}
	})
	begun := time.Now()
	assert.NilError(t, place(t, c, "drafter", "1"))
	awaitVersion(t, site, "1")
	took := time.Since(begun)
	close(stop)
	asking.Wait()
	most, records, targets := replay(t, site)
	t.Logf("12 targets in %v, at most %d out, %d turn records, %d fetches, %d refused", took, most, records, weights.Fetches(), weights.Refused())
	assert.Equal(t, targets, 12)
	assert.Assert(t, most <= 3, "%d of 12 targets were out at once", most)
	for _, e := range site.Engines {
		assert.Equal(t, len(e.Orders()), 1)
	}
}

// TestOperatorsRace has two operators publish versions against each other: the
// last accepted one ends up loaded, and no engine ever goes back, whether it
// checks fencing numbers or not.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks %v", checks), func(t *testing.T) {
			t.Parallel()
			site, c := orderSite(t, 4, checks, nil)
			var operators sync.WaitGroup
			for _, name := range []string{"left", "right"} {
				operators.Go(func() {
					for i := range 6 {
						_ = place(t, c, "drafter", fmt.Sprintf("%s-%d", name, i)) // the other may have been faster
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

// TestWeightStoreDown has the store fail when a roll begins: no target gets an
// order, the others go on serving, and the roll ends after the store is back.
func TestWeightStoreDown(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(100, 10, 1<<10)
	weights.SetDown(true)
	site, c := orderSite(t, 4, true, weights)
	assert.NilError(t, place(t, c, "drafter", "1"))
	eventually(t, 30*time.Second, func() error {
		if weights.Refused() < 3 {
			return protocol.ErrBusy.New("%d refused", weights.Refused())
		}
		return nil
	})
	for _, e := range site.Engines {
		assert.Equal(t, len(e.Orders()), 0)
	}
	a, err := c.Chat(t.Context(), question("Is there heat?", 5, true), client.CallOptions{}, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(a.Body), engine.Answer("Is there heat?", 5))
	weights.SetDown(false)
	awaitVersion(t, site, "1")
	most, _, _ := replay(t, site)
	assert.Equal(t, most, 1)
}

// TestCrashWhileLoading crashes a target in its turn: it loads again, and the
// turn is not lost to the others.
func TestCrashWhileLoading(t *testing.T) {
	t.Parallel()
	weights := weightstore.New(100, 10, 1<<10)
	weights.SetDown(true)
	site, c := orderSite(t, 2, false, weights)
	assert.NilError(t, place(t, c, "drafter", "1"))
	eventually(t, 30*time.Second, func() error {
		if weights.Refused() < 1 {
			return protocol.ErrBusy.New("no target loads yet")
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
