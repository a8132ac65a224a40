package state

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// loadFold applies records to the folds of configuration and loads, in the order in
// which a sidecar does.
type loadFold struct {
	config *ConfigFold
	loads  *Loads
	next   uint64
}

func newLoadFold() *loadFold {
	config := NewConfigFold()
	return &loadFold{config: config, loads: NewLoads(config), next: 1}
}

func (f *loadFold) apply(rec *protocol.Record) protocol.Position {
	pos := protocol.PositionAt(f.next, 0)
	f.next++
	rec.ID = fmt.Sprint("r", f.next)
	f.config.Apply(pos, rec)
	f.loads.Apply(pos, rec)
	return pos
}

func (f *loadFold) place(name, version string, percent int, selector protocol.Selector) protocol.Position {
	base, _ := f.config.Current().Lookup(protocol.KindPlacement, name)
	f.apply(&protocol.Record{Change: &protocol.Change{By: "op", Objects: []protocol.Object{{
		Kind: protocol.KindPlacement, Name: name, Base: base.Version,
		Placement: &protocol.Placement{Selector: selector, Model: "m", Version: version, MaxUnavailablePercent: percent},
	}}}})
	o, _ := f.config.Current().Lookup(protocol.KindPlacement, name)
	return o.Version
}

func (f *loadFold) hello(target, holder string) {
	labels := protocol.Labels{"role": "drafting", "half": string(rune('a' + len(target)%2))}
	f.apply(&protocol.Record{Hello: &protocol.TargetRegistration{Target: target, Holder: holder, Instance: holder, Labels: labels}})
}

func (f *loadFold) claim(target, holder string, fence protocol.Position) bool {
	f.apply(&protocol.Record{Claim: &protocol.LoadClaim{Target: target, Holder: holder, Fence: fence}})
	t, _ := f.loads.Target(target)
	return t.Turn != nil && t.Turn.Holder == holder && t.Turn.Fence == fence
}

func TestClaimsAreLimitedAndFenced(t *testing.T) {
	f := newLoadFold()
	for i := range 8 {
		f.hello(fmt.Sprint("t", i), fmt.Sprint("h", i))
	}
	v1 := f.place("p", "1", 25, protocol.Selector{"role": "drafting"})
	assert.Assert(t, f.claim("t0", "h0", v1))
	assert.Assert(t, !f.claim("t1", "stranger", v1), "only the holder may claim")
	assert.Assert(t, f.claim("t1", "h1", v1))
	assert.Assert(t, !f.claim("t2", "h2", v1), "two of eight targets are loading, the maximum at 25 %")
	v2 := f.place("p", "2", 25, protocol.Selector{"role": "drafting"})
	f.apply(&protocol.Record{Load: &protocol.LoadEnd{Target: "t0", Holder: "h0", Fence: v1, Loaded: true, Content: "m\x001"}})
	assert.Assert(t, !f.claim("t2", "h2", v1), "the fence of an old placement version is rejected")
	assert.Assert(t, f.claim("t2", "h2", v2))
}

func TestNewHolderEndsTurn(t *testing.T) {
	f := newLoadFold()
	f.hello("t0", "old")
	v := f.place("p", "1", 25, protocol.Selector{})
	assert.Assert(t, f.claim("t0", "old", v))
	f.hello("t0", "new")
	f.apply(&protocol.Record{Renew: &protocol.LoadRenew{Target: "t0", Holder: "old"}})
	f.apply(&protocol.Record{Load: &protocol.LoadEnd{Target: "t0", Holder: "old", Fence: v, Loaded: true}})
	known, _ := f.loads.Target("t0")
	assert.Assert(t, known.Turn == nil && known.Fence == 0)
	assert.Assert(t, f.claim("t0", "new", v))
}

func TestRevokeIsIgnoredAfterRenewal(t *testing.T) {
	f := newLoadFold()
	f.hello("t0", "h")
	v := f.place("p", "1", 25, protocol.Selector{})
	assert.Assert(t, f.claim("t0", "h", v))
	seen := f.loads.Loading()["t0"]
	f.apply(&protocol.Record{Renew: &protocol.LoadRenew{Target: "t0", Holder: "h"}})
	f.apply(&protocol.Record{Revoke: &protocol.LoadRevoke{Target: "t0", Seen: seen}})
	assert.Equal(t, len(f.loads.Loading()), 1, "the renewal came before the revocation")
	f.apply(&protocol.Record{Revoke: &protocol.LoadRevoke{Target: "t0", Seen: f.loads.Loading()["t0"]}})
	assert.Equal(t, len(f.loads.Loading()), 0)
}

// TestTurns checks for random orders of records that a claim never makes more of a
// placement's targets load than the placement allows, that only its newest version
// is granted turns, and that a second fold of the same records agrees.
func TestTurns(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		f, again := newLoadFold(), newLoadFold()
		n := rapid.IntRange(1, 120).Draw(t, "records")
		for range n {
			rec := drawLoadRecord(t, f)
			f.apply(rec)
			twin := *rec
			again.apply(&twin)
			checkTurns(t, f, rec)
			assert.DeepEqual(t, f.loads.Loading(), again.loads.Loading())
		}
	})
}

func drawLoadRecord(t *rapid.T, f *loadFold) *protocol.Record {
	i := rapid.IntRange(0, 11).Draw(t, "target")
	target := fmt.Sprint("target-", i)
	known, _ := f.loads.Target(target)
	labels := protocol.Labels{"role": "drafting", "half": string(rune('a' + i%2))}
	config := f.config.Current()
	want, _ := config.DesiredModel(config.Labels(labels))
	holder := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "holder")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0:
		name := rapid.SampledFrom([]string{"p", "q"}).Draw(t, "placement")
		base, _ := config.Lookup(protocol.KindPlacement, name)
		selector := rapid.SampledFrom([]protocol.Selector{{}, {"half": "a"}}).Draw(t, "selector")
		return &protocol.Record{Change: &protocol.Change{Objects: []protocol.Object{{
			Kind: protocol.KindPlacement, Name: name, Base: base.Version,
			Placement: &protocol.Placement{Selector: selector, MaxUnavailablePercent: rapid.IntRange(0, 60).Draw(t, "percent")},
		}}}}
	case 1:
		return &protocol.Record{Hello: &protocol.TargetRegistration{Target: target, Holder: holder, Labels: labels}}
	case 2:
		return &protocol.Record{Renew: &protocol.LoadRenew{Target: target, Holder: holder}}
	case 3:
		return &protocol.Record{Load: &protocol.LoadEnd{Target: target, Holder: holder, Fence: want.Fence, Loaded: true}}
	case 4:
		return &protocol.Record{Revoke: &protocol.LoadRevoke{Target: target, Seen: known.Seen, Gone: rapid.Bool().Draw(t, "gone")}}
	default:
		return &protocol.Record{Claim: &protocol.LoadClaim{Target: target, Holder: known.Holder, Fence: want.Fence}}
	}
}

// checkTurns checks the limit only if the record granted a turn: turns that were granted
// earlier are not taken back when the limit is lowered or targets leave.
func checkTurns(t *rapid.T, f *loadFold, rec *protocol.Record) {
	if rec.Claim == nil {
		return
	}
	known, found := f.loads.Target(rec.Claim.Target)
	if !found || known.Turn == nil || known.Seen != f.config.Current().At {
		return
	}
	config := f.config.Current()
	labels := config.Labels(known.Labels)
	if want, _ := config.DesiredModel(labels); known.Turn.Fence != want.Fence {
		t.Fatalf("turn for placement version %s, want the newest, %s", known.Turn.Fence, want.Fence)
	}
	for _, o := range config.placementsOf(labels) {
		matched, loading := f.loads.countLoading(config, o.Placement.Selector)
		if loading > MaxUnavailable(o.Placement, matched) {
			t.Fatalf("%d of %d targets are loading, allowed %d", loading, matched, MaxUnavailable(o.Placement, matched))
		}
	}
}
