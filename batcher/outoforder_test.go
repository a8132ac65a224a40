package batcher_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestSpoiledAnswerIsNoPartOfAnOutput guards against outputs in which events come twice or are
// missing (review/8): the target sends events again, leaves some out or goes back, and breaks
// off, in the first run or where it should go on. Each output must be whole, whether the item
// stays here, is given back or is taken over after a loss of power.
func TestSpoiledAnswerIsNoPartOfAnOutput(t *testing.T) {
	for name, odd := range map[string][]oddEvents{
		"events again":           {{20, []int{18, 19, 20}}},
		"the last event again":   {{20, []int{20}}},
		"an event left out":      {{20, []int{22, 23}}},
		"resumed from the start": {{20, nil}, {20, []int{1, 2, 3}}},
		"resumed too late":       {{20, nil}, {20, []int{25}}},
		"first events left out":  {{0, []int{3, 4}}},
	} {
		for _, then := range []string{"stays", "is given back", "power is lost"} {
			t.Run(name+", "+then, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, e := newFixture(t), newTarget()
					e.repeats = map[string][]oddEvents{"j0": odd}
					s.accept("j", 2)
					b := s.start("b", e)
					time.Sleep(1500 * time.Millisecond)
					switch then {
					case "is given back":
						assert.NilError(t, b.Stop())
						b = s.start("c", e)
					case "power is lost":
						s.store.SetFaults(fleetstore.Faults{Down: true})
						assert.NilError(t, b.Stop())
						s.store.SetFaults(fleetstore.Faults{})
						b = s.start("c", e)
					}
					time.Sleep(15 * time.Second)
					s.checkCompleted("j")
					assert.NilError(t, b.Stop())
				})
			})
		}
	}
}

// TestSpoiledProgressOfEarlierBuildIsDropped guards against an output that goes on after progress in
// which an earlier build has kept events twice: released with the item, or saved before the loss
// of its holder.
func TestSpoiledProgressOfEarlierBuildIsDropped(t *testing.T) {
	var lines []string
	for _, n := range []int{1, 2, 3, 2, 3} {
		lines = append(lines, fmt.Sprint("j0-", n))
	}
	spoiled := worklog.Progress{Text: strings.Join(lines, "\n"), LastEventID: "3", Events: len(lines), Failures: 1}
	ref := worklog.ItemRef{Job: "j", Item: "j0"}
	for name, write := range map[string]func(s *fixture){
		"released": func(s *fixture) {
			s.appendEntry(worklog.Entry{Release: &worklog.Release{ItemRef: ref, Progress: spoiled}})
		},
		"saved": func(s *fixture) {
			record := fleet.Record{Key: worklog.SavedKey(ref), Value: worklog.EncodeText(spoiled.Text)}
			offset, err := s.store.Append(s.t.Context(), fleet.TopicTexts, fleet.AnyOffset, []fleet.Record{record})
			assert.NilError(s.t, err)
			s.appendEntry(worklog.Entry{Save: &worklog.Save{ItemRef: ref, LastEventID: "3", Events: 5, Offset: offset, Bytes: 1000}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				s.accept("j", 1)
				s.writer = worklog.NewProcessWriter("b")
				s.appendEntry(worklog.Entry{Claim: &worklog.Claim{Items: []worklog.ClaimedItem{{ItemRef: ref, Replaces: worklog.NoClaim}}}})
				write(s)
				b := s.start("b", e)
				time.Sleep(10 * time.Second)
				s.checkCompleted("j")
				assert.Equal(t, e.resumedAfter("j0"), 0)
				assert.NilError(t, b.Stop())
			})
		})
	}
}
