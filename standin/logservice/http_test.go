package logservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
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
