package batcher_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestPageNeverJoinsAnOutput lets a target answer a run of an item with a success that cannot
// be the item's: without the target's signature, in its first or a later run, or of another
// content type than the run that it goes on with. None of its text may stand in the output.
func TestPageNeverJoinsAnOutput(t *testing.T) {
	const text = "data: out of memory\n\n"
	unsigned := fleet.Answer{Header: http.Header{}}
	page := fleet.Answer{Signed: true, Header: http.Header{"Content-Type": {"text/html; charset=utf-8"}}}
	for name, c := range map[string]struct {
		answer  fleet.Answer
		resumed bool
	}{
		"unsigned, first run":         {unsigned, false},
		"unsigned, resumed run":       {unsigned, true},
		"another type in resumed run": {page, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				c.answer.Body = strings.NewReader(text)
				if !c.resumed {
					e.pages["j0"] = c.answer
				}
				s.accept("j", 1)
				b := s.start("b", e)
				time.Sleep(1500 * time.Millisecond)
				if c.resumed {
					assert.Equal(t, e.busy(), 1)
					e.set(func(e *target) {
						e.pages["j0"] = c.answer
						e.online = slots
					})
					time.Sleep(100 * time.Millisecond)
					e.set(func(e *target) { e.online = 0 })
				}
				time.Sleep(10 * time.Second)
				s.checkCompleted("j")
				assert.Equal(t, len(e.pages), 0, "the page was not sent")
				assert.NilError(t, b.Stop())
			})
		})
	}
}
