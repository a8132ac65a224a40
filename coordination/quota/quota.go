// Package quota holds the online requests of each workspace to its rate. The
// entries do not talk about it: each takes an equal part of the rate, and the
// balancer before them is trusted to spread a workspace's requests.
package quota

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// burstWindow is the time for which an unused rate is saved.
const burstWindow = time.Second

// Limiter holds a token bucket for each workspace that has a quota. Its methods
// may be called at the same time.
type Limiter struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// New returns a limiter over a clock.
func New(now func() time.Time) *Limiter {
	return &Limiter{now: now, buckets: map[string]*rate.Limiter{}}
}

// Admit counts one request of a workspace against its quota. A nil quota, or one
// without a rate, admits everything. It fails with ErrQuota, which says when the
// next request will be admitted, and then counts nothing.
func (l *Limiter) Admit(workspace string, quota *protocol.Quota, liveEntries int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if quota == nil || quota.RequestsPerSecond <= 0 {
		delete(l.buckets, workspace)
		return nil
	}
	now := l.now()
	bucket := l.bucket(now, workspace, quota.RequestsPerSecond/float64(max(1, liveEntries)))
	if bucket.AllowN(now, 1) {
		return nil
	}
	missing := 1 - bucket.TokensAt(now)
	wait := time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
	return protocol.NewQuotaExceeded(workspace, quota.RequestsPerSecond, wait)
}

// bucket returns the workspace's bucket with the rate set, a full one where it is new.
func (l *Limiter) bucket(now time.Time, workspace string, perSecond float64) *rate.Limiter {
	limit, burst := rate.Limit(perSecond), burstSize(perSecond)
	bucket, found := l.buckets[workspace]
	if !found {
		bucket = rate.NewLimiter(limit, burst)
		l.buckets[workspace] = bucket
		return bucket
	}
	if bucket.Limit() != limit {
		bucket.SetLimitAt(now, limit)
		bucket.SetBurstAt(now, burst)
	}
	return bucket
}

func burstSize(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond*burstWindow.Seconds())))
}

// Len returns the number of buckets.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets)
}
