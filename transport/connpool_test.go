package transport

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/standin/rawtarget"
)

// startSilentTarget starts a target that keeps its connections open until the test ends.
func startSilentTarget(t *testing.T) string {
	t.Helper()
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return rawtarget.Start(t, func(net.Conn) { <-ended })
}

// TestConnectionCarriesARequestOnce gets connections for requests and returns them. A request
// that comes again must get another connection than the one that has carried it, however many
// others that has carried since; that one stays idle for others.
func TestConnectionCarriesARequestOnce(t *testing.T) {
	addr, pool := startSilentTarget(t), NewConnPool()
	get := func(request string) *Conn {
		c, err := pool.Get(t.Context(), addr, request)
		assert.NilError(t, err)
		return c
	}
	first := get("r1")
	first.Release(0)
	for i := range 100 {
		other := get(fmt.Sprint("other-", i))
		assert.Assert(t, other == first)
		other.Release(0)
	}
	second := get("r1")
	assert.Assert(t, second != first)
	second.Release(0)
	for range 2 {
		unnamed := get("")
		assert.Assert(t, unnamed == second, "a request without an ID may use any connection")
		unnamed.Release(0)
	}
	third, other := get("r2"), get("r3")
	assert.Assert(t, third == second && other != second)
	third.Release(0)
	other.Release(0)
	assert.Assert(t, get("r1") == other, "an idle connection that has not carried the request is preferred")
	assert.Assert(t, get("r4") == second, "the connection that has carried it was closed")
}

// TestRepeatedRequestLeavesNoConnectionsBehind sends one request again and again, as to a
// target that refuses it each time. Each run has another connection, and the one before must
// be closed: targets accept few connections, and the batcher closes idle ones only here.
func TestRepeatedRequestLeavesNoConnectionsBehind(t *testing.T) {
	addr, pool := startSilentTarget(t), NewConnPool()
	for range 50 {
		c, err := pool.Get(t.Context(), addr, "r1")
		assert.NilError(t, err)
		c.Release(0)
		assert.Equal(t, len(pool.idle[addr]), 1)
	}
	for range 3 { // idle connections that have expired are closed, whichever is used
		c, err := pool.Get(t.Context(), addr, "r1")
		assert.NilError(t, err)
		c.reusableUntil = time.Now().Add(-time.Second)
		c.keepIdle()
		assert.Equal(t, len(pool.idle[addr]), 1)
	}
}

// TestConnectionRemembersBoundedly checks that a connection is closed once it has carried as
// many requests as it remembers.
func TestConnectionRemembersBoundedly(t *testing.T) {
	addr, pool := startSilentTarget(t), NewConnPool()
	var first *Conn
	for i := range maxCarried {
		c, err := pool.Get(t.Context(), addr, fmt.Sprint(i))
		assert.NilError(t, err)
		assert.Assert(t, first == nil || c == first)
		first = c
		c.Release(0)
	}
	assert.Assert(t, !pool.HasIdle(addr))
	next, err := pool.Get(t.Context(), addr, "next")
	assert.NilError(t, err)
	assert.Assert(t, next != first)
	assert.NilError(t, next.Close())
}
