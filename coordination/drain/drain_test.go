package drain_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/drain"
)

// TestNoRequestOutlastsTheProcess checks for several grace periods that no request is taken
// that may still run when the process stops, that short ones are taken while callers keep
// coming, and that nothing is taken later.
func TestNoRequestOutlastsTheProcess(t *testing.T) {
	begun := time.Unix(1000, 0)
	for _, grace := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		w := drain.NewWindow(begun, grace)
		assert.Assert(t, !w.Stop.After(begun.Add(grace)), "%v", grace)
		for at := time.Duration(0); at <= grace; at += 50 * time.Millisecond {
			for _, limit := range []time.Duration{50 * time.Millisecond, time.Second, 5 * time.Second, 30 * time.Second} {
				now := begun.Add(at)
				accepted := w.Accepts(now, limit)
				assert.Assert(t, !accepted || !now.Add(limit).After(w.Stop), "grace %v: at %v, limit %v", grace, at, limit)
				assert.Assert(t, !accepted || at < 3*time.Second, "grace %v: at %v, limit %v", grace, at, limit)
			}
			assert.Assert(t, !w.Accepts(begun.Add(at), 0), "a request without a limit")
		}
	}
	w := drain.NewWindow(begun, 8*time.Second)
	assert.Assert(t, w.Accepts(begun.Add(2900*time.Millisecond), time.Second))
	assert.Assert(t, w.Accepts(begun.Add(2*time.Second), 5*time.Second))
	assert.Assert(t, !drain.Window{}.Accepts(begun, time.Millisecond))
}
