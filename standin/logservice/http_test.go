package logservice

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestFaultsOverHTTP injects faults over HTTP and checks the errors that a client
// gets.
func TestFaultsOverHTTP(t *testing.T) {
	service := New(Params{Retention: time.Hour})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	log := backend.NewHTTPLog(server.URL)
	set := func(faults string) {
		resp, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(faults))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusNoContent)
	}
	first, err := log.Append(t.Context(), "s", []byte("one"))
	assert.NilError(t, err)
	set(`{"lose_answers":1}`)
	_, err = log.Append(t.Context(), "s", []byte("two"))
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrAnswerLost), "%v", err)
	page, err := log.Read(t.Context(), "s", first, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Entries), 2)
	assert.Equal(t, string(page.Entries[1].Data), "two")
	set(`{"outage":true}`)
	_, err = log.Append(t.Context(), "s", []byte("three"))
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrLogUnavailable), "%v", err)
	_, err = log.Read(t.Context(), "s", first, 10, 0)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrLogUnavailable), "%v", err)
	set(`{}`)
	page, err = log.Read(t.Context(), "s", first, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.Next, first+2)
}

// TestLargestAnswerFitsIntoTheLog guards against an answer that is passed on although its record, by
// which a repeated call gets it again, is larger than an entry of the log may be.
func TestLargestAnswerFitsIntoTheLog(t *testing.T) {
	const largest = protocol.MaxEntryBytes - 2*http.DefaultMaxHeaderBytes
	var size atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/"+strings.Repeat("x", 32<<10))
		body := make([]byte, size.Load())
		_, _ = rand.NewChaCha8([32]byte{}).Read(body)
		_, _ = w.Write(body)
	}))
	defer target.Close()
	server := httptest.NewServer(New(Params{Retention: time.Hour}).Handler())
	defer server.Close()
	log := backend.NewHTTPLog(server.URL)
	store := func(result protocol.Result) error {
		complete := &protocol.RequestComplete{Key: strings.Repeat("k", http.DefaultMaxHeaderBytes), Fingerprint: strings.Repeat("f", 64), Result: result}
		data, err := protocol.EncodeBatch([]protocol.Record{{ID: "r", Complete: complete}})
		assert.NilError(t, err)
		_, err = log.Append(t.Context(), "s", data)
		return err
	}
	call := func(answer int64) (protocol.Result, error) {
		size.Store(answer)
		return backend.NewPlainService(target.URL).Do(t.Context(), "k", &protocol.Call{Method: http.MethodPost, Path: "/bookings"})
	}
	result, err := call(largest)
	assert.NilError(t, err)
	assert.NilError(t, store(result))
	_, err = call(largest + 1)
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTargetFailed), "%v", err)
	err = store(protocol.Result{Body: make([]byte, protocol.MaxEntryBytes)})
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTooLarge), "%v", err)
}
