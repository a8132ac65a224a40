package batcher_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestUnsendableItemEnds runs a job of an earlier build with an item that can't be sent as one
// request, which would be tried without end, and one that can't be resumed after its first event.
// The first ends as a dead letter, the second runs from its beginning, and the rest of the job
// is not held up.
func TestUnsendableItemEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		e.unsendable["j0"] = ""
		e.unsendable["j1"] = "1"
		broken := io.MultiReader(strings.NewReader("id: 1\ndata: wrong\n\n"), iotest.ErrReader(io.ErrUnexpectedEOF))
		e.pages["j1"] = fleet.Answer{Header: http.Header{}, Signed: true, Body: broken}
		s.accept("j", 3)
		b := s.start("b", e)
		time.Sleep(20 * time.Second)
		states := map[string]fleet.ResultState{}
		for _, r := range s.job("j").Results {
			states[r.Item] = r.State
		}
		assert.DeepEqual(t, states, map[string]fleet.ResultState{"j0": fleet.ResultDeadLetter, "j1": fleet.ResultCompleted, "j2": fleet.ResultCompleted})
		assert.Equal(t, e.sent("j0"), 1)
		assert.Equal(t, e.sent("j1"), 3)
		assert.Equal(t, e.resumedAfter("j1"), 0)
		assert.NilError(t, b.Stop())
	})
}
