package ratelimit

import (
	"math"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// The parts of a workspace's tolerance. In one window the owner spends one part, each of at
// most three deputies another (two, and a third while views differ), and all gateways together
// the last: 0.2 + 3*0.25 + 0.05 = 1.
const (
	ownerPart  = 0.2
	deputyPart = 0.25
	alonePart  = 0.05
)

// Bounds are the settings that rates are held to.
type Bounds struct {
	// Window is the time over which a rate holds.
	Window time.Duration
	// Overage and Slack are the tolerance: a share of the limit, and a number of requests.
	Overage float64
	Slack   int
}

// limit returns the number of requests that a workspace may send in a window.
func (b Bounds) limit(r fleet.Rate) float64 { return r.PerSecond*b.Window.Seconds() + r.Burst }

// tolerance returns the number of requests in a window that are tolerated beyond the limit.
func (b Bounds) tolerance(r fleet.Rate) float64 {
	return b.Overage*b.limit(r) + float64(b.Slack)
}

// bucket is the token bucket of one workspace.
type bucket struct {
	rate    fleet.Rate
	version int64
	// capacity is the maximum number of tokens: the burst and the owner's part of the
	// tolerance, at least 1.
	capacity float64
	tokens   float64
	at       time.Duration
	// turn is when the caller that was refused last has its turn. It is at most window ahead,
	// unless even the next token comes later.
	turn   time.Duration
	window time.Duration
	// frozen is set once the gateway is no longer the workspace's owner.
	frozen bool
	// joins is the value of Members.joins for which the bucket is valid.
	joins int
}

// newBucket returns a bucket that has filled since the given time.
func newBucket(b Bounds, r fleet.Rate, version int64, since time.Duration) *bucket {
	k := &bucket{at: since, window: b.Window}
	k.adopt(b, r, version)
	return k
}

// adopt changes the rate to that of a newer version.
func (k *bucket) adopt(b Bounds, r fleet.Rate, version int64) {
	if version < k.version {
		return
	}
	k.version = version
	if r == k.rate {
		return
	}
	k.rate = r
	k.capacity = math.Max(1, r.Burst+ownerPart*b.tolerance(r))
	k.tokens = math.Min(k.tokens, k.capacity)
}

func (k *bucket) fill(now time.Duration) {
	if now <= k.at {
		return
	}
	k.tokens = math.Min(k.capacity, k.tokens+k.rate.PerSecond*(now-k.at).Seconds())
	k.at = now
}

// take takes one token. If there is none, it returns the time until the caller's turn,
// after those that were refused before.
func (k *bucket) take(now time.Duration) (admitted bool, retryAfter time.Duration) {
	k.fill(now)
	if k.tokens >= 1 {
		k.tokens--
		return true, 0
	}
	next := now + seconds((1-k.tokens)/k.rate.PerSecond)
	k.turn = max(next, k.turn+seconds(1/k.rate.PerSecond))
	k.turn = min(k.turn, max(next, now+k.window))
	return false, k.turn - now
}

// put gives a token back.
func (k *bucket) put() { k.tokens = math.Min(k.capacity, k.tokens+1) }

// isFull reports whether a new bucket would hold as much.
func (k *bucket) isFull(now time.Duration) bool {
	k.fill(now)
	return k.tokens >= k.capacity
}

// seconds returns a duration of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s, time.Hour.Seconds()) * float64(time.Second))
}
