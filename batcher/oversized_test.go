package batcher_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessAnswers lets the target answer the first run of an item without end: with
// one event, with an output that no record can hold, or with comments that keep the run
// alive. Each run must be broken off while other items go on, and the item be completed
// by a later run.
func TestEndlessAnswers(t *testing.T) {
	for name, repeated := range map[string]string{
		"event":    strings.Repeat("x", 4<<10),
		"output":   "id: 9\ndata: " + strings.Repeat("x", 4<<10) + "\n\n",
		"comments": ": wait\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				e.endless["j0"] = repeated
				s.accept("j", 3)
				b := s.start("b", e)
				time.Sleep(15 * time.Second)
				s.checkCompleted("j")
				assert.Equal(t, e.sent("j0"), 2)
				assert.Equal(t, e.sent("j1"), 1)
				assert.NilError(t, b.Stop())
			})
		})
	}
}
