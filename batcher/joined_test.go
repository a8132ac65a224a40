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

// TestPageNeverJoinsAnOutput lets a target answer a run of an item, its first or a later one
// that goes on after some events, with a success that is not the item's: without the target's
// signature, or no event stream. None of its text may stand in the output.
func TestPageNeverJoinsAnOutput(t *testing.T) {
	const text = "data: out of memory\n\n"
	for name, page := range map[string]fleet.Answer{
		"unsigned":   {Header: http.Header{"Content-Type": {"text/event-stream"}}},
		"a page":     {Signed: true, Header: http.Header{"Content-Type": {"text/html; charset=utf-8"}}},
		"a document": {Signed: true, Header: http.Header{"Content-Type": {"application/json"}}},
	} {
		for when, resumed := range map[string]bool{"first run": false, "resumed run": true} {
			t.Run(name+", "+when, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, e := newFixture(t), newTarget()
					page.Body = strings.NewReader(text)
					if !resumed {
						e.pages["j0"] = page
					}
					s.accept("j", 1)
					b := s.start("b", e)
					time.Sleep(1500 * time.Millisecond)
					if resumed {
						assert.Equal(t, e.busy(), 1)
						e.set(func(e *target) {
							e.pages["j0"] = page
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
}
