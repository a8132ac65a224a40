package quota

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ time.Time }

func (c *fakeClock) now() time.Time           { return c.Time }
func (c *fakeClock) advance(by time.Duration) { c.Time = c.Add(by) }

func newLimiter() (*Limiter, *fakeClock) {
	c := &fakeClock{time.Unix(1_790_000_000, 0)}
	return New(c.now), c
}

// countAdmitted sends requests at an interval for a time and counts the admitted ones.
func (c *fakeClock) countAdmitted(l *Limiter, q *protocol.Quota, entries int, interval, total time.Duration) int {
	count := 0
	for end := c.Add(total); c.Before(end); c.advance(interval) {
		if l.Admit("w", q, entries) == nil {
			count++
		}
	}
	return count
}

// TestRate sends requests at ten times the rate or more for ten seconds: each entry
// must admit its share and the burst of one second.
func TestRate(t *testing.T) {
	tests := map[string]struct {
		perSecond float64
		entries   int
		want      int
	}{
		"one entry":        {20, 1, 220},
		"four entries":     {20, 4, 55},
		"no entry listed":  {20, 0, 220},
		"below one second": {0.5, 1, 6},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l, c := newLimiter()
			q := &protocol.Quota{RequestsPerSecond: test.perSecond}
			got := c.countAdmitted(l, q, test.entries, 5*time.Millisecond, 10*time.Second)
			assert.Assert(t, got <= test.want && got >= test.want-1, "%d admitted, want %d", got, test.want)
		})
	}
}

func TestQuotaErrorHasRetryAfter(t *testing.T) {
	l, c := newLimiter()
	q := &protocol.Quota{RequestsPerSecond: 0.25}
	assert.NilError(t, l.Admit("w", q, 1))
	err := l.Admit("w", q, 1)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrQuotaExceeded), "%v", err)
	assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeNotRun)
	wait := protocol.RetryAfter(err)
	assert.Equal(t, wait, 4*time.Second)
	c.advance(wait - time.Millisecond)
	assert.Assert(t, l.Admit("w", q, 1) != nil)
	c.advance(time.Millisecond)
	assert.NilError(t, l.Admit("w", q, 1))
}

// TestChangedQuota changes the rate and the number of entries, which must keep the
// bucket, and then removes the quota, which must drop it.
func TestChangedQuota(t *testing.T) {
	l, c := newLimiter()
	assert.Equal(t, c.countAdmitted(l, &protocol.Quota{RequestsPerSecond: 10}, 1, time.Millisecond, time.Second), 19)
	assert.Equal(t, c.countAdmitted(l, &protocol.Quota{RequestsPerSecond: 100}, 1, time.Millisecond, time.Second), 100)
	assert.Equal(t, c.countAdmitted(l, &protocol.Quota{RequestsPerSecond: 100}, 4, time.Millisecond, time.Second), 25)
	assert.NilError(t, l.Admit("w", nil, 1))
	assert.Equal(t, l.Len(), 0)
}

func TestWorkspacesAreIndependent(t *testing.T) {
	l, _ := newLimiter()
	q := &protocol.Quota{RequestsPerSecond: 1}
	assert.NilError(t, l.Admit("a", q, 1))
	assert.Assert(t, l.Admit("a", q, 1) != nil)
	assert.NilError(t, l.Admit("b", q, 1))
}
