package main

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// requestStatus sends a request with a bearer token, none where it is empty.
func requestStatus(t *testing.T, method, url, token string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("{}"))
	assert.NilError(t, err)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// TestControlNeedsAKey sends every role what only operators, callers or peers
// may send: without a key, with a wrong one, and with one of another kind.
func TestControlNeedsAKey(t *testing.T) {
	s := startExample(t, "strakvagen")
	en := s.site.Entries[0].Settings
	operator, caller, secret := en.Entry.OperatorKeys[0], en.Entry.Callers[0].Key, en.Process.PeerSecret
	entryURL := "http://" + en.Process.HTTP
	operators := []string{"GET /config", "POST /config", "POST /config/plan", "GET /config/history", "GET /status", "GET /events"}
	callers := []string{
		"POST /v1/chat/completions", "POST /services/booking/x", "GET /services/booking/x", "GET /requests/k", "POST /v1/files",
		"POST /v1/batches", "GET /v1/batches/j", "POST /v1/batches/j/cancel", "GET /v1/batches/j/results",
	}
	refused := func(calls []string, base string, tokens ...string) {
		for _, call := range calls {
			method, path, _ := strings.Cut(call, " ")
			for _, token := range tokens {
				assert.Equal(t, requestStatus(t, method, base+path, token), http.StatusUnauthorized, "%s with token %q", call, token)
			}
		}
	}
	refused(operators, entryURL, "", "wrong", caller, secret)
	refused(callers, entryURL, "", "wrong", operator, secret)
	attempts := []string{"POST " + transport.AttemptPath}
	refused(attempts, "http://"+s.site.Sidecars[0].Settings.Process.HTTP, "", "wrong", operator, caller)
	assert.Equal(t, requestStatus(t, http.MethodGet, entryURL+"/status", operator), http.StatusOK)
	for _, p := range []*processtest.Process{s.site.Entries[0], s.site.Sidecars[0]} {
		checkPeerSecret(t, p.Settings.Process.Peer, secret, operator, caller)
	}
}

// checkPeerSecret calls a process over net/rpc with the right secret, and with others.
func checkPeerSecret(t *testing.T, addr, secret string, wrong ...string) {
	t.Helper()
	call := func(secret, method string, args, reply any) error {
		peers := transport.NewPeers(secret)
		defer peers.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		return peers.Call(ctx, addr, method, args, reply)
	}
	var reply protocol.ReportReply
	assert.NilError(t, call(secret, protocol.MethodReport, &protocol.ReportArgs{}, &reply))
	assert.Assert(t, reply.Instance != "")
	for _, other := range append(wrong, "", "wrong") {
		var report protocol.ReportReply
		assert.Assert(t, call(other, protocol.MethodReport, &protocol.ReportArgs{}, &report) != nil, "secret %q", other)
		assert.Equal(t, report.Instance, "")
		assert.Assert(t, call(other, protocol.MethodCancel, &protocol.CancelArgs{Attempt: "a"}, &protocol.CancelReply{}) != nil)
		assert.Assert(t, call(other, protocol.MethodEvents, &protocol.EventsArgs{}, &protocol.EventsReply{}) != nil)
	}
}
