// Package quota limits the online requests of each workspace to its rate at the entries of
// the product's own deployment. The entries do not coordinate: each enforces an equal share
// of the rate, and relies on the load balancer in front of them to spread the requests of a
// workspace evenly. Package ratelimit, which gateways use, enforces one rate over all of them;
// package jobquota limits the tokens of batch jobs, not a rate.
package quota

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// burstWindow is the time for which unused rate accumulates.
const burstWindow = time.Second

// Limiter holds a token bucket for each workspace that has a quota. It is safe for
// concurrent use.
type Limiter struct {
	now func() time.Time

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// New returns a limiter that reads the time from now.
func New(now func() time.Time) *Limiter {
	return &Limiter{now: now, buckets: map[string]*rate.Limiter{}}
}

// Admit counts a request of a workspace against its quota. A nil quota, or one without
// a rate, admits everything. If the quota is exceeded, Admit counts nothing and fails
// with ErrQuotaExceeded, which tells when the next request will be admitted.
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

// bucket returns the workspace's bucket with its rate updated; a new bucket is full.
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
